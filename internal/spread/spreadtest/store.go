package spreadtest

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"rattanchute/internal/platform"
)

// Store is a platform.Store in memory that counts calls and can be switched off.
type Store struct {
	Calls atomic.Int64
	down  atomic.Bool

	mu      sync.Mutex
	version uint64
	objects map[platform.Kind]map[string]platform.Object
	events  map[platform.Kind][]platform.Event
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[platform.Kind]map[string]platform.Object{},
		events:  map[platform.Kind][]platform.Event{},
		changed: make(chan struct{}),
	}
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(down bool) {
	s.down.Store(down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := s.call(); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, kind platform.Kind) ([]platform.Object, uint64, error) {
	if err := s.call(); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		out = append(out, s.objects[kind][name])
	}
	return out, s.version, nil
}

// Create implements platform.Store.
func (s *Store) Create(_ context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	return s.write(platform.Object{Kind: kind, Name: name, Value: value}, false)
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, o platform.Object) (platform.Object, error) {
	return s.write(o, false)
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, o platform.Object) error {
	_, err := s.write(o, true)
	return err
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after uint64) ([]platform.Event, uint64, error) {
	if err := s.call(); err != nil {
		return nil, 0, err
	}
	for {
		s.mu.Lock()
		events, version, changed := s.since(kind, after), s.version, s.changed
		s.mu.Unlock()
		if s.down.Load() {
			return nil, 0, platform.ErrUnavailable
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

func (s *Store) since(kind platform.Kind, after uint64) []platform.Event {
	var out []platform.Event
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
		return platform.ErrUnavailable
	}
	return nil
}

func (s *Store) write(o platform.Object, deleted bool) (platform.Object, error) {
	if err := s.call(); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Kind][o.Name].Version != o.Version {
		return platform.Object{}, platform.ErrConflict
	}
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]platform.Object{}
	}
	s.version++
	o.Version = s.version
	s.objects[o.Kind][o.Name] = o
	if deleted {
		delete(s.objects[o.Kind], o.Name)
	}
	s.events[o.Kind] = append(s.events[o.Kind], platform.Event{Object: o, Deleted: deleted})
	s.wake()
	return o, nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
