package claim

import (
	"context"
	"encoding/json"
	"math/rand"
	"sync"
	"time"

	"rattanchute/internal/objectstore"
)

// fakeStore keeps objects in memory and fails at random if it has faults.
type fakeStore struct {
	objectstore.Store // the calls that are not used
	latency           time.Duration
	faults            *faults // nil: none
	// loseNextAnswer makes the next write take effect without an answer and starts an outage.
	loseNextAnswer bool

	mu      sync.Mutex
	version objectstore.Version
	objects map[string]objectstore.Object
}

func newFakeStore(f *faults) *fakeStore {
	return &fakeStore{faults: f, objects: map[string]objectstore.Object{}}
}

func (f *fakeStore) Get(ctx context.Context, _ objectstore.Kind, name string) (objectstore.Object, error) {
	if f.faults.draw("store read unanswered", 0.05) || f.faults.isDown() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	time.Sleep(f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	object, found := f.objects[name]
	if !found {
		return object, objectstore.ErrNotFound
	}
	return object, nil
}

func (f *fakeStore) Create(ctx context.Context, kind objectstore.Kind, name string, v json.RawMessage) (objectstore.Object, error) {
	return f.Update(ctx, objectstore.Object{Kind: kind, Name: name, Value: v})
}

func (f *fakeStore) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	switch {
	case f.loseNextAnswer:
		f.loseNextAnswer = false
		f.apply(o)
		f.faults.setDown(true)
		return o, objectstore.ErrUnavailable
	case f.faults.isDown():
		return o, objectstore.ErrUnavailable
	case f.faults.draw("store throttled", 0.03):
		return o, objectstore.ErrThrottled
	case f.faults.draw("store write lost before", 0.05):
		return o, objectstore.ErrUnavailable
	case f.faults.draw("store answer lost", 0.08):
		f.apply(o)
		return o, objectstore.ErrUnavailable
	case f.faults.draw("store write lands late", 0.08):
		late := f.faults.duration(time.Minute)
		time.AfterFunc(late, func() { f.apply(o) })
		return o, objectstore.ErrUnavailable
	}
	time.Sleep(f.latency)
	return f.apply(o)
}

// apply makes the conditional write.
func (f *fakeStore) apply(o objectstore.Object) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(o.Value) > objectstore.MaxValueBytes {
		return o, objectstore.ErrTooLarge
	}
	if f.objects[o.Name].Version != o.Version {
		f.faults.count("store conflict")
		return o, objectstore.ErrConflict
	}
	f.version++
	o.Version = f.version
	f.objects[o.Name] = o
	return o, nil
}

func (f *fakeStore) Delete(_ context.Context, o objectstore.Object) error {
	if f.faults.draw("store delete unanswered", 0.1) || f.faults.isDown() {
		return objectstore.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[o.Name].Version != o.Version {
		return objectstore.ErrConflict
	}
	delete(f.objects, o.Name)
	return nil
}

// faults draws random faults from a seed and counts them; nil draws none.
type faults struct {
	mu       sync.Mutex
	random   *rand.Rand
	down     bool
	disabled bool
	counts   map[string]int
}

// locked runs a function with the lock held.
func locked[T any](f *faults, run func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return run()
}

func (f *faults) draw(kind string, probability float64) bool {
	return f != nil && locked(f, func() bool {
		hit := !f.disabled && f.random.Float64() < probability
		if hit {
			f.counts[kind]++
		}
		return hit
	})
}

func (f *faults) count(kind string) {
	if f != nil {
		locked(f, func() int { f.counts[kind]++; return 0 })
	}
}

func (f *faults) duration(limit time.Duration) time.Duration {
	return locked(f, func() time.Duration { return time.Duration(f.random.Int63n(int64(limit))) })
}

func (f *faults) pick(n int) int {
	return locked(f, func() int { return f.random.Intn(n) })
}

func (f *faults) setDown(down bool) {
	locked(f, func() int { f.down = down; return 0 })
}

// disable ends all faults for good, and the outage.
func (f *faults) disable() {
	locked(f, func() int { f.disabled, f.down = true, false; return 0 })
}

func (f *faults) isDown() bool {
	down := f != nil && locked(f, func() bool { return f.down })
	if down {
		f.count("store outage")
	}
	return down
}
