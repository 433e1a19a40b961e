package configstore

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"rattanchute/internal/objectstore"
)

// fault is a fault injected into one call of the fake store.
type fault int

const (
	faultNone fault = iota
	// faultRefused makes the store unavailable. It is the only fault of reads.
	faultRefused
	// faultLostBefore loses the request of a write.
	faultLostBefore
	// faultLostAfter loses the response to a write that took effect.
	faultLostAfter
	// faultDelayed makes a write without a response take effect at the next applyDelayed.
	faultDelayed
	faultThrottled
	// faultKinds is the number of kinds, including faultNone.
	faultKinds
)

// fakeStore is an in-memory store that injects the faults chosen by pick.
type fakeStore struct {
	objects map[string]objectstore.Object
	version objectstore.Version
	delayed []func()
	// pick chooses the fault of a write, or of a read when write is false.
	pick func(write bool) fault
	// observe is called for each object that is stored.
	observe func(objectstore.Object)
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		objects: map[string]objectstore.Object{},
		pick:    func(bool) fault { return faultNone },
		observe: func(objectstore.Object) {},
	}
}

func key(kind objectstore.Kind, name string) string {
	return string(kind) + "/" + name
}

// applyDelayed applies all delayed writes.
func (s *fakeStore) applyDelayed() {
	arrived := s.delayed
	s.delayed = nil
	for _, write := range arrived {
		write()
	}
}

func (s *fakeStore) write(apply func() (objectstore.Object, error)) (objectstore.Object, error) {
	switch s.pick(true) {
	case faultThrottled:
		return objectstore.Object{}, objectstore.ErrThrottled
	case faultRefused, faultLostBefore:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case faultLostAfter:
		_, _ = apply()
		return objectstore.Object{}, objectstore.ErrUnavailable
	case faultDelayed:
		s.delayed = append(s.delayed, func() { _, _ = apply() })
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return apply()
}

func (s *fakeStore) put(o objectstore.Object) (objectstore.Object, error) {
	if len(o.Value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	s.version++
	o.Version = s.version
	s.objects[key(o.Kind, o.Name)] = o
	s.observe(o)
	return o, nil
}

func (s *fakeStore) Get(_ context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	if s.pick(false) != faultNone {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	o, found := s.objects[key(kind, name)]
	if !found {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Create(_ context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	return s.write(func() (objectstore.Object, error) {
		if _, found := s.objects[key(kind, name)]; found {
			return objectstore.Object{}, objectstore.ErrConflict
		}
		return s.put(objectstore.Object{Kind: kind, Name: name, Value: slices.Clone(value)})
	})
}

func (s *fakeStore) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.write(func() (objectstore.Object, error) {
		if s.objects[key(o.Kind, o.Name)].Version != o.Version {
			return objectstore.Object{}, objectstore.ErrConflict
		}
		return s.put(o)
	})
}

func (s *fakeStore) UpdateStatus(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.Update(ctx, o)
}

func (s *fakeStore) Delete(_ context.Context, o objectstore.Object) error {
	delete(s.objects, key(o.Kind, o.Name))
	return nil
}

func (s *fakeStore) List(_ context.Context, kind objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	var all []objectstore.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, string(kind)+"/") {
			all = append(all, o)
		}
	}
	return all, s.version, nil
}

func (s *fakeStore) Watch(context.Context, objectstore.Kind, objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	return nil, s.version, objectstore.ErrUnavailable
}
