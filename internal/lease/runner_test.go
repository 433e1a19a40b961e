package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
)

// fakeStore stores one object and implements only the calls that a lease needs. About a quarter of
// its writes take effect although the caller gets ErrUnavailable.
type fakeStore struct {
	objectstore.Store
	mu          sync.Mutex
	random      *rand.Rand
	down        bool
	lostAnswers int
	object      objectstore.Object
}

func (f *fakeStore) Get(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case f.object.Version == 0:
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return f.object, nil
}

func (f *fakeStore) Create(ctx context.Context, kind objectstore.Kind, name string, v json.RawMessage) (objectstore.Object, error) {
	return f.Update(ctx, objectstore.Object{Kind: kind, Name: name, Value: v})
}

func (f *fakeStore) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return o, objectstore.ErrUnavailable
	case o.Version != f.object.Version:
		return o, objectstore.ErrConflict
	}
	o.Version++
	f.object = o
	if f.random.Intn(4) == 0 {
		f.lostAnswers++
		return o, objectstore.ErrUnavailable
	}
	return o, nil
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// holder returns the runner with a valid lease and its fencing token; nil and zero if there is
// none. It fails the test if there are several.
func holder(t *testing.T, runners []*Runner) (*Runner, uint64) {
	var found *Runner
	var foundFencing uint64
	for _, r := range runners {
		fencing, ok := r.Valid(time.Now())
		if ok && found != nil {
			t.Errorf("two valid holders")
		}
		if ok {
			found, foundFencing = r, fencing
		}
	}
	return found, foundFencing
}

// TestLeaseMovesBetweenRunners checks that the lease moves to another runner after a graceful
// shutdown of the holder, that the holder loses it during an outage of the store, and that a runner
// acquires it after the outage. Each acquisition must increase the fencing token.
func TestLeaseMovesBetweenRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{random: rand.New(rand.NewSource(1))}
		var runners []*Runner
		stops := map[*Runner]context.CancelFunc{}
		for i := range 3 {
			r := NewRunner(Config{Name: "duty", Self: fmt.Sprint("r", i), Store: store})
			ctx, stop := context.WithCancel(context.Background())
			stops[r] = stop
			runners = append(runners, r)
			go r.Run(ctx)
		}
		time.Sleep(10 * DefaultDuration)
		first, firstFencing := holder(t, runners)
		is.True(first != nil)

		stops[first]()
		time.Sleep(DefaultDuration / 2) // less than the remaining time of the lease
		second, secondFencing := holder(t, runners)
		is.True(second != nil && second != first)
		is.True(secondFencing > firstFencing)

		store.setDown(true)
		time.Sleep(DefaultDuration)
		none, _ := holder(t, runners)
		is.Equal(none, nil)
		store.setDown(false)
		time.Sleep(2 * DefaultDuration)
		third, thirdFencing := holder(t, runners)
		is.True(third != nil)
		is.True(thirdFencing > secondFencing)
		is.True(store.lostAnswers > 0)
		for _, stop := range stops {
			stop()
		}
	})
}

// eraStore is a store with eras that holds nothing at first.
type eraStore struct {
	objectstore.Store
	eras    objectstore.EraTracker
	era     uint64
	created []string
}

func (s *eraStore) Get(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	if err := s.eras.Observe(s.era); err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{}, objectstore.ErrNotFound
}

func (s *eraStore) Create(_ context.Context, kind objectstore.Kind, name string, value json.RawMessage) (objectstore.Object, error) {
	s.created = append(s.created, name)
	return objectstore.Object{Kind: kind, Name: name, Version: objectstore.NewVersion(s.era, 1), Value: value}, s.eras.Observe(s.era)
}

// TestFirstRoundFindsTheEra checks that a member learns the era of the store and acquires the lease there
// in its first round, on the first start of the system.
func TestFirstRoundFindsTheEra(t *testing.T) {
	is := is.New(t)
	store := &eraStore{era: 4}
	r := NewRunner(Config{Name: "duties", Self: "a/1", Store: store, Eras: &store.eras, FirstStart: true})
	r.runRound(t.Context())
	_, held := r.Valid(time.Now())
	is.True(held)
	is.Equal(store.created, []string{"duties-era-4"})
}
