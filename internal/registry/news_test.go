package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestNewsBringAnotherViewUpToDate(t *testing.T) {
	is := is.New(t)
	lead, follower := NewView(), NewView()
	list := []Entry{entry("a", 1), entry("b", 2)}
	lead.Replace(epoch, list, 5)
	follower.Replace(epoch, list, 5)
	later := epoch.Add(time.Second)
	lead.Put(later, entry("c", 6))
	lead.Put(later, leavingEntry("a", 7))
	lead.Delete(later, "b", 8)
	changes, complete := follower.Apply(later, lead.Delta(later), later)
	is.True(complete)
	is.Equal(len(changes), 3)
	is.Equal(ids(follower), []string{"c"})
	is.Equal(follower.ConfirmedAt(), later)
	changes, complete = follower.Apply(later, lead.Delta(later), time.Time{})
	is.True(complete)
	is.Equal(len(changes), 0) // told again, as messages may be lost
}

// TestNewsThatMissChangesAreNotTaken: the list has to be read.
func TestNewsThatMissChangesAreNotTaken(t *testing.T) {
	is := is.New(t)
	lead, follower := NewView(), NewView()
	lead.Replace(epoch, []Entry{entry("a", 1)}, 5)
	_, complete := follower.Apply(epoch, lead.Delta(epoch), epoch)
	is.True(!complete) // it knows nothing yet
	follower.Replace(epoch, []Entry{entry("a", 1)}, 5)
	lead.Delete(epoch.Add(time.Second), "a", 6)
	long := epoch.Add(time.Second + newsFor)
	_, complete = follower.Apply(long, lead.Delta(long), long)
	is.True(!complete)
	is.Equal(ids(follower), []string{"a"})
	is.True(follower.ConfirmedAt().IsZero())
}

// TestTimeLeftIsToldAsOfNow: news wait, and time goes on.
func TestTimeLeftIsToldAsOfNow(t *testing.T) {
	is := is.New(t)
	lead := NewView()
	e := leavingEntry("a", 6)
	e.Endpoint.LeavesIn = 2 * time.Second
	lead.Put(epoch, e)
	n := lead.Delta(epoch.Add(time.Second))
	is.Equal(n.Changes[0].Endpoint.LeavesIn, time.Second)
}

// TestFollowerSeesWhatTheStoreHolds plays a store, a lead that lists and watches it, and a
// follower that hears some of the lead's news and lists only when told to: whenever it is
// complete, it knows what the store held.
func TestFollowerSeesWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStoreModel()
		lead, follower := NewView(), NewView()
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { s.put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")) },
			"delete": func(t *rapid.T) { s.remove(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")) },
			"list":   func(*rapid.T) { lead.Replace(now, s.list(), s.version) },
			"watch":  func(*rapid.T) { s.watch(now, lead) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				// The store was never away.
				lead.StoreAnswered(now)
				follower.StoreAnswered(now)
			},
			"news": func(t *rapid.T) {
				n := lead.Delta(now)
				if _, complete := follower.Apply(now, n, now); !complete {
					follower.Replace(now, s.list(), s.version)
					return
				}
				if asOf, _ := follower.Versions(); asOf > n.AsOf {
					return
				}
				if got, want := ids(follower), ids(lead); len(got) != len(want) {
					t.Fatalf("follower knows %v, its lead %v, news %+v", got, want, n)
				}
			},
		})
	})
}

// storeModel is a store whose changes can be listed and watched.
type storeModel struct {
	version uint64
	entries map[string]Entry
	deleted map[string]uint64
}

func newStoreModel() *storeModel {
	return &storeModel{entries: map[string]Entry{}, deleted: map[string]uint64{}}
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

// watch shows a view that listed once all changes since, in their order.
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
