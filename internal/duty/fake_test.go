package duty

import (
	"context"
	"encoding/json"
	"sync"

	"rattanchute/internal/objectstore"
)

// fakeStore is an in-memory object store.
type fakeStore struct {
	mu      sync.Mutex
	eras    *objectstore.EraTracker
	version objectstore.Version
	objects map[string]objectstore.Object
	// err, if set, is returned by every call. With lateEffect, Create and Update take effect
	// nevertheless, unless they fail with a conflict.
	err        error
	lateEffect bool
	writes     int
}

var _ objectstore.Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore {
	return &fakeStore{eras: new(objectstore.EraTracker), objects: map[string]objectstore.Object{}}
}

func key(kind objectstore.Kind, name string) string { return string(kind) + "/" + name }

func (s *fakeStore) Get(_ context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return objectstore.Object{}, s.err
	}
	o, ok := s.objects[key(kind, name)]
	if !ok {
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) List(context.Context, objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	return nil, s.version, s.err
}

func (s *fakeStore) Create(_ context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	return s.put(objectstore.Object{Kind: kind, Name: name, Value: value})
}

func (s *fakeStore) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.put(o)
}

func (s *fakeStore) UpdateStatus(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.put(o)
}

func (s *fakeStore) put(o objectstore.Object) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil && !s.lateEffect {
		return objectstore.Object{}, s.err
	}
	if s.objects[key(o.Kind, o.Name)].Version != o.Version {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	s.version++
	s.writes++
	o.Version = s.version
	s.objects[key(o.Kind, o.Name)] = o
	return o, s.err
}

func (s *fakeStore) Delete(context.Context, objectstore.Object) error { return s.err }

func (s *fakeStore) Watch(context.Context, objectstore.Kind, objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	return nil, s.version, s.err
}
