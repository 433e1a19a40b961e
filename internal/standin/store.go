package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rattanchute/internal/platform"
)

// defaultHistory is the number of changes kept for watches.
const defaultHistory = 10_000

// StoreConfig sets a store's limits.
type StoreConfig struct {
	// CallsPerSecond is the call budget; zero sets none.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Burst is the number of calls allowed at once; zero is one second's worth.
	Burst int `json:"burst"`
	// WatchWaitMillis is the longest wait of an in-process watch, in milliseconds.
	WatchWaitMillis int `json:"watch_wait_ms"`
	// History is the number of changes kept for watches.
	History int `json:"history"`
	// Now replaces the clock that the budget is counted by.
	Now func() time.Time `json:"-"`
}

// StoreFaults are the failures of a store; the zero value has none.
type StoreFaults struct {
	// Outage answers every call as unavailable, without effect.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of next writes that take effect but are answered
	// as unavailable; negative loses all.
	LoseAnswers int `json:"lose_answers"`
	// CutConnection cuts the connection instead of answering 503.
	CutConnection bool `json:"cut_connection"`
	// DelayMillis is added to each call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// Verb names a kind of call for counting.
type Verb string

// The verbs of a store.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbCreate Verb = "create"
	VerbUpdate Verb = "update"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// objectKey names an object in the whole store.
type objectKey struct {
	kind platform.Kind
	name string
}

// Store is an object store in memory. It implements platform.Store without HTTP.
type Store struct {
	config  StoreConfig
	limiter *rate.Limiter

	mu      sync.Mutex
	objects map[objectKey]platform.Object
	version uint64
	// history holds the latest changes in the order of their versions.
	history   []change
	compacted uint64
	changed   chan struct{}
	faults    StoreFaults
	calls     map[Verb]uint64
	throttled uint64
	lost      uint64
}

// change is an event and the store version it made.
type change struct {
	version uint64
	event   platform.Event
}

var _ platform.Store = (*Store)(nil)

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
		objects: map[objectKey]platform.Object{},
		changed: make(chan struct{}),
		calls:   map[Verb]uint64{},
	}
	if c.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(c.CallsPerSecond), c.Burst)
	}
	return s
}

// SetFaults replaces the failures.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// StoreCounts are the calls that a store has seen.
type StoreCounts struct {
	Calls     map[Verb]uint64 `json:"calls"`
	Throttled uint64          `json:"throttled"`
	// LostAnswers counts the writes that took effect without an answer.
	LostAnswers uint64 `json:"lost_answers"`
}

// Counts returns the calls seen, by verb.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCounts{Calls: map[Verb]uint64{}, Throttled: s.throttled, LostAnswers: s.lost}
	for v, n := range s.calls {
		c.Calls[v] = n
	}
	return c
}

// begin counts a call and applies the budget and the faults that hit all calls.
func (s *Store) begin(ctx context.Context, v Verb) error {
	s.mu.Lock()
	s.calls[v]++
	faults := s.faults
	limited := s.limiter != nil && !s.limiter.AllowN(s.config.Now(), 1)
	if limited {
		s.throttled++
	}
	s.mu.Unlock()
	if limited {
		return platform.ErrThrottled
	}
	if faults.DelayMillis > 0 && !sleep(ctx, millis(faults.DelayMillis)) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
	if faults.Outage {
		return platform.ErrUnavailable
	}
	return nil
}

// loseAnswer tells whether the answer to a write that took effect is lost.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.lost++
	return true
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := s.begin(ctx, VerbGet); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List reads all objects of a kind, by name.
func (s *Store) List(ctx context.Context, kind platform.Kind) ([]platform.Object, uint64, error) {
	if err := s.begin(ctx, VerbList); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []platform.Object{}
	for k, o := range s.objects {
		if k.kind == kind {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, s.version, nil
}

// Create stores a new object.
func (s *Store) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (platform.Object, error) {
	if err := s.begin(ctx, VerbCreate); err != nil {
		return platform.Object{}, err
	}
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[objectKey{kind, name}]; ok {
		return platform.Object{}, platform.ErrConflict
	}
	return s.write(platform.Object{Kind: kind, Name: name, Value: value}, false)
}

// Update replaces the value if the stored version equals o.Version.
func (s *Store) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	if err := s.begin(ctx, VerbUpdate); err != nil {
		return platform.Object{}, err
	}
	if len(o.Value) > platform.MaxValueBytes {
		return platform.Object{}, platform.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.match(o); err != nil {
		return platform.Object{}, err
	}
	return s.write(o, false)
}

// Delete removes the object if the stored version equals o.Version.
func (s *Store) Delete(ctx context.Context, o platform.Object) error {
	if err := s.begin(ctx, VerbDelete); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.match(o); err != nil {
		return err
	}
	_, err := s.write(o, true)
	return err
}

func (s *Store) match(o platform.Object) error {
	stored, ok := s.objects[objectKey{o.Kind, o.Name}]
	if !ok {
		return platform.ErrNotFound
	}
	if stored.Version != o.Version {
		return platform.ErrConflict
	}
	return nil
}

// write applies a change and then loses the answer if it is told to.
func (s *Store) write(o platform.Object, deleted bool) (platform.Object, error) {
	o = s.apply(o, deleted)
	if s.loseAnswer() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return o, nil
}

// apply changes an object and wakes the watches.
func (s *Store) apply(o platform.Object, deleted bool) platform.Object {
	s.version++
	o.Version = s.version
	o.Value = append(json.RawMessage(nil), o.Value...)
	key := objectKey{o.Kind, o.Name}
	if deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, change{s.version, platform.Event{Object: o, Deleted: deleted}})
	if extra := len(s.history) - s.config.History; extra > 0 {
		s.compacted = s.history[extra-1].version
		s.history = append([]change(nil), s.history[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// Put writes an object as the platform itself does: unconditionally, outside the
// budget and in spite of faults.
func (s *Store) Put(kind platform.Kind, name string, value json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(platform.Object{Kind: kind, Name: name, Value: value}, false)
}

// Watch waits for changes of a kind for as long as the configuration says.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after uint64) ([]platform.Event, uint64, error) {
	return s.WatchFor(ctx, kind, after, millis(s.config.WatchWaitMillis))
}

// WatchFor is Watch with a longest wait. An outage ends a waiting watch at the next
// change only.
func (s *Store) WatchFor(ctx context.Context, kind platform.Kind, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if err := s.begin(ctx, VerbWatch); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, version, changed := s.since(kind, after), s.version, s.changed
		compacted, outage := after < s.compacted, s.faults.Outage
		s.mu.Unlock()
		switch {
		case outage:
			return nil, after, platform.ErrUnavailable
		case compacted:
			return nil, after, platform.ErrCompacted
		case len(events) > 0 || wait <= 0:
			return events, max(version, after), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, max(version, after), nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

// since returns the kept changes of a kind after a version.
func (s *Store) since(kind platform.Kind, after uint64) []platform.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > after })
	var events []platform.Event
	for _, c := range s.history[first:] {
		if c.event.Object.Kind == kind {
			events = append(events, c.event)
		}
	}
	return events
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// sleep waits and tells whether it waited in full.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
