package gossiptest

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"rattanchute/internal/objectstore"
)

// Store is an in-memory objectstore.Store that counts calls and can simulate an outage, in which
// all calls fail with objectstore.ErrUnavailable.
type Store struct {
	Calls atomic.Int64
	down  atomic.Bool

	mu      sync.Mutex
	version objectstore.Version
	objects map[objectstore.Kind]map[string]objectstore.Object
	events  map[objectstore.Kind][]objectstore.Event
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[objectstore.Kind]map[string]objectstore.Object{},
		events:  map[objectstore.Kind][]objectstore.Event{},
		changed: make(chan struct{}),
	}
}

// SetDown starts or ends an outage. Calls of Watch that are blocked at the start of one fail.
func (s *Store) SetDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// Get implements objectstore.Store.
func (s *Store) Get(_ context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	if err := s.call(); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, kind objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	if err := s.call(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectstore.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		out = append(out, s.objects[kind][name])
	}
	return out, s.version, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(_ context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	return s.write(objectstore.Object{Kind: kind, Name: name, Value: value}, false)
}

// Update implements objectstore.Store.
func (s *Store) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.write(o, false)
}

// UpdateStatus implements objectstore.Store.
func (s *Store) UpdateStatus(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	return s.write(o, false)
}

// Delete implements objectstore.Store.
func (s *Store) Delete(_ context.Context, o objectstore.Object) error {
	_, err := s.write(o, true)
	return err
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, kind objectstore.Kind, after objectstore.Version) ([]objectstore.Event, objectstore.Version, error) {
	if err := s.call(); err != nil {
		return nil, 0, err
	}
	for {
		s.mu.Lock()
		events, version, changed := s.since(kind, after), s.version, s.changed
		s.mu.Unlock()
		if s.down.Load() {
			return nil, 0, objectstore.ErrUnavailable
		}
		if len(events) > 0 {
			return events, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, version, nil
		case <-changed:
		}
	}
}

func (s *Store) since(kind objectstore.Kind, after objectstore.Version) []objectstore.Event {
	var out []objectstore.Event
	for _, e := range s.events[kind] {
		if e.Object.Version > after {
			out = append(out, e)
		}
	}
	return out
}

func (s *Store) call() error {
	s.Calls.Add(1)
	if s.down.Load() {
		return objectstore.ErrUnavailable
	}
	return nil
}

func (s *Store) write(o objectstore.Object, deleted bool) (objectstore.Object, error) {
	if err := s.call(); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Kind][o.Name].Version != o.Version {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]objectstore.Object{}
	}
	s.version++
	o.Version = s.version
	s.objects[o.Kind][o.Name] = o
	if deleted {
		delete(s.objects[o.Kind], o.Name)
	}
	s.events[o.Kind] = append(s.events[o.Kind], objectstore.Event{Object: o, Deleted: deleted})
	s.wake()
	return o, nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
