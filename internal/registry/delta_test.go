package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/objectstore"
)

func TestDeltaUpdatesAnotherView(t *testing.T) {
	is := is.New(t)
	leader, follower := NewView(), NewView()
	list := []Entry{entry("a", 1), entry("b", 2)}
	leader.Replace(epoch, list, 5)
	follower.Replace(epoch, list, 5)
	later := epoch.Add(time.Second)
	leader.Put(later, entry("c", 6))
	leader.Put(later, leavingEntry("a", 7))
	leader.Delete(later, "b", 8)
	changes, complete := follower.Apply(later, leader.Delta(later), later)
	is.True(complete)
	is.Equal(len(changes), 3)
	is.Equal(ids(follower), []string{"c"})
	is.Equal(follower.ConfirmedAt(), later)
	changes, complete = follower.Apply(later, leader.Delta(later), time.Time{})
	is.True(complete)
	is.Equal(len(changes), 0) // a delta repeats changes, because messages may be lost
}

// TestDeltaWithGapIsRejected checks that a delta is not applied if changes between the view and
// the delta are missing: the list has to be read instead.
func TestDeltaWithGapIsRejected(t *testing.T) {
	is := is.New(t)
	leader, follower := NewView(), NewView()
	leader.Replace(epoch, []Entry{entry("a", 1)}, 5)
	_, complete := follower.Apply(epoch, leader.Delta(epoch), epoch)
	is.True(!complete) // the view is still empty
	follower.Replace(epoch, []Entry{entry("a", 1)}, 5)
	leader.Delete(epoch.Add(time.Second), "a", 6)
	later := epoch.Add(time.Second + deltaRetention)
	_, complete = follower.Apply(later, leader.Delta(later), later)
	is.True(!complete)
	is.Equal(ids(follower), []string{"a"})
	is.True(follower.ConfirmedAt().IsZero())
}

// TestTimeLeftIsRelativeToNow checks that the remaining time of a leaving endpoint shrinks
// while the change waits to be sent.
func TestTimeLeftIsRelativeToNow(t *testing.T) {
	is := is.New(t)
	leader := NewView()
	e := leavingEntry("a", 6)
	e.Endpoint.LeavesIn = 2 * time.Second
	leader.Put(epoch, e)
	d := leader.Delta(epoch.Add(time.Second))
	is.Equal(d.Changes[0].Endpoint.LeavesIn, time.Second)
}

// TestFollowerMatchesStore simulates a store, a leader that lists and watches it, and a
// follower that receives some of the leader's deltas and lists the store only if there is a gap.
// After each delta without a gap, the follower must know as many endpoints as the leader.
func TestFollowerMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStoreModel()
		leader, follower := NewView(), NewView()
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { s.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")) },
			"delete": func(t *rapid.T) { s.remove(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")) },
			"list":   func(*rapid.T) { leader.Replace(now, s.list(), s.version) },
			"watch":  func(*rapid.T) { s.watch(now, leader) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				// The store is never unavailable in this test.
				leader.StoreResponded(now)
				follower.StoreResponded(now)
			},
			"news": func(t *rapid.T) {
				d := leader.Delta(now)
				if _, complete := follower.Apply(now, d, now); !complete {
					follower.Replace(now, s.list(), s.version)
					return
				}
				if asOf, _ := follower.Versions(); asOf > d.AsOf {
					return
				}
				if got, want := ids(follower), ids(leader); len(got) != len(want) {
					t.Fatalf("follower knows %v, its leader %v, delta %+v", got, want, d)
				}
			},
		})
	})
}

// storeModel is a store that can be listed and watched.
type storeModel struct {
	version objectstore.Version
	entries map[string]Entry
	deleted map[string]objectstore.Version
}

func newStoreModel() *storeModel {
	return &storeModel{entries: map[string]Entry{}, deleted: map[string]objectstore.Version{}}
}

func (s *storeModel) put(id string) {
	s.version++
	s.entries[id] = entry(id, s.version)
	delete(s.deleted, id)
}

func (s *storeModel) remove(id string) {
	if _, ok := s.entries[id]; !ok {
		return
	}
	s.version++
	delete(s.entries, id)
	s.deleted[id] = s.version
}

func (s *storeModel) list() []Entry {
	var out []Entry
	for _, e := range s.entries {
		out = append(out, e)
	}
	return out
}

// watch sends all changes since its version, in order, to a view that has listed the store
// before.
func (s *storeModel) watch(now time.Time, v *View) {
	from, _ := v.Versions()
	if from == 0 {
		return
	}
	for version := from + 1; version <= s.version; version++ {
		for _, e := range s.entries {
			if e.Version == version {
				v.Put(now, e)
			}
		}
		for id, at := range s.deleted {
			if at == version {
				v.Delete(now, id, at)
			}
		}
	}
}

// TestFollowerLearnsOfARestoreFromADelta checks that a host that hears of a restore of the store by its
// leader's delta treats its endpoints as if it had seen the restore itself.
func TestFollowerLearnsOfARestoreFromADelta(t *testing.T) {
	is := is.New(t)
	leader, follower := NewView(), NewView()
	at := func(era, revision uint64) objectstore.Version { return objectstore.NewVersion(era, revision) }
	for _, v := range []*View{leader, follower} {
		v.Replace(epoch, []Entry{entry("ended", at(1, 1)), entry("new", at(1, 8))}, at(1, 8))
		v.Delete(epoch, "ended", at(1, 9))
	}
	restored := epoch.Add(time.Second)
	leader.StoreRestored(restored)
	leader.Replace(restored, []Entry{entry("ended", at(2, 1))}, at(2, 3))
	_, complete := follower.Apply(restored, leader.Delta(restored), restored)
	is.True(complete)
	is.Equal(ids(follower), []string{"new"}) // missing, but used until it has had the time to return
	is.Equal(ids(leader), ids(follower))
}
