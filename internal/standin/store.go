package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rattanchute/internal/objectstore"
)

// objectKey identifies an object in the store.
type objectKey struct {
	kind objectstore.Kind
	name string
}

// Store is an in-memory object store. It implements objectstore.Store, and a Site also serves
// it over HTTP.
type Store struct {
	config  StoreConfig
	limiter *rate.Limiter

	mu      sync.Mutex
	objects map[objectKey]objectstore.Object
	version objectstore.Version
	// history holds the latest changes in the order of their versions; compacted is the
	// version of the newest change that was removed from it.
	history   []change
	compacted objectstore.Version
	changed   chan struct{}
	// era counts the restores.
	era         uint64
	faults      StoreFaults
	calls       map[Verb]uint64
	throttled   uint64
	lostAnswers uint64
}

// change is an event and the store version that it created.
type change struct {
	version objectstore.Version
	event   objectstore.Event
}

var _ objectstore.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(c StoreConfig) *Store {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.History <= 0 {
		c.History = defaultHistory
	}
	if c.Burst <= 0 {
		c.Burst = int(c.CallsPerSecond) + 1
	}
	s := &Store{
		config:  c,
		objects: map[objectKey]objectstore.Object{},
		changed: make(chan struct{}),
		calls:   map[Verb]uint64{},
	}
	if c.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(c.CallsPerSecond), c.Burst)
	}
	return s
}

// Get returns one object.
func (s *Store) Get(ctx context.Context, kind objectstore.Kind, name string) (objectstore.Object, error) {
	if err := s.begin(ctx, VerbGet); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

// List returns all objects of a kind, sorted by name, and the store's version.
func (s *Store) List(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, objectstore.Version, error) {
	if err := s.begin(ctx, VerbList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []objectstore.Object{}
	for k, o := range s.objects {
		if k.kind == kind {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, s.version, nil
}

// Create stores a new object. If one of that kind and name exists, it returns
// objectstore.ErrConflict.
func (s *Store) Create(ctx context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	if err := s.begin(ctx, VerbCreate); err != nil {
		return objectstore.Object{}, err
	}
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[objectKey{kind, name}]; ok {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	return s.write(objectstore.Object{Kind: kind, Name: name, Value: value}, false)
}

// Update replaces the value if the stored version equals o.Version. Otherwise it returns
// objectstore.ErrConflict, or ErrNotFound if there is no such object.
func (s *Store) Update(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	if err := s.begin(ctx, VerbUpdate); err != nil {
		return objectstore.Object{}, err
	}
	if len(o.Value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, objectstore.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(o); err != nil {
		return objectstore.Object{}, err
	}
	o.Status = s.objects[objectKey{o.Kind, o.Name}].Status
	return s.write(o, false)
}

// UpdateStatus replaces the status if the stored version equals o.Version. The errors are those of Update. A write
// that changes nothing keeps the version.
func (s *Store) UpdateStatus(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	if err := s.begin(ctx, VerbUpdate); err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(o); err != nil {
		return objectstore.Object{}, err
	}
	stored := s.objects[objectKey{o.Kind, o.Name}]
	if bytes.Equal(stored.Status, o.Status) {
		return stored, nil
	}
	stored.Status = append(json.RawMessage(nil), o.Status...)
	return s.write(stored, false)
}

// Delete removes the object if the stored version equals o.Version. Otherwise it returns
// objectstore.ErrConflict, or ErrNotFound if there is no such object.
func (s *Store) Delete(ctx context.Context, o objectstore.Object) error {
	if err := s.begin(ctx, VerbDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(o); err != nil {
		return err
	}
	_, err := s.write(o, true)
	return err
}

func (s *Store) checkVersion(o objectstore.Object) error {
	stored, ok := s.objects[objectKey{o.Kind, o.Name}]
	if !ok {
		return objectstore.ErrNotFound
	}
	if stored.Version != o.Version {
		return objectstore.ErrConflict
	}
	return nil
}

// write applies a change and then returns ErrUnavailable if a fault loses the response.
func (s *Store) write(o objectstore.Object, deleted bool) (objectstore.Object, error) {
	o = s.apply(o, deleted)
	if s.loseAnswer() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return o, nil
}

// apply writes or deletes an object and wakes the watchers. The caller holds the lock.
func (s *Store) apply(o objectstore.Object, deleted bool) objectstore.Object {
	s.version++
	o.Version = s.version
	o.Value = append(json.RawMessage(nil), o.Value...)
	key := objectKey{o.Kind, o.Name}
	if deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, change{s.version, objectstore.Event{Object: o, Deleted: deleted}})
	if extra := len(s.history) - s.config.History; extra > 0 {
		s.compacted = s.history[extra-1].version
		s.history = append([]change(nil), s.history[extra:]...)
	}
	s.wakeWatchers()
	return o
}

// wakeWatchers makes the waiting watches check for changes and faults. The caller holds
// the lock.
func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Remove deletes an object as the platform itself does, if there is one.
func (s *Store) Remove(kind objectstore.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[objectKey{kind, name}]; ok {
		s.apply(o, true)
	}
}

// Put writes an object as the platform itself does: without a version check, a rate limit
// or faults.
func (s *Store) Put(kind objectstore.Kind, name string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.objects[objectKey{kind, name}].Status
	s.apply(objectstore.Object{Kind: kind, Name: name, Value: value, Status: status}, false)
}
