package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func entry(id string, version uint64) Entry {
	return Entry{Endpoint{ID: id, Fleet: "f", Address: "1.2.3.4:5", Slots: 1, StartMillis: 1}, version}
}

func leavingEntry(id string, version uint64) Entry {
	e := entry(id, version)
	e.Endpoint.Leaving = true
	return e
}

func ids(v *View) []string {
	var out []string
	for _, k := range v.Known() {
		if !k.Leaving {
			out = append(out, k.ID)
		}
	}
	return out
}

// TestOldListDoesNotBringBackALeavingEndpoint: a list that was read before a watch showed
// the leaving changes nothing.
func TestOldListDoesNotBringBackALeavingEndpoint(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Put(epoch, leavingEntry("a", 5))
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 4)
	is.Equal(ids(v), []string{"b"})
	// Nor does a later heartbeat of the same run that says otherwise.
	v.Put(epoch, entry("a", 6))
	is.Equal(ids(v), []string{"b"})
	// A new run under the same id is a new endpoint.
	again := entry("a", 7)
	again.Endpoint.StartMillis = 2
	v.Put(epoch, again)
	is.Equal(ids(v), []string{"a", "b"})
}

func TestEndpointThatVanishesIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Replace(epoch, []Entry{entry("b", 2)}, 3)
	is.Equal(ids(v), []string{"b"})
	v.Delete(epoch, "b", 4)
	is.Equal(len(v.Known()), 0)
}

// TestEntriesThatLapsedWhileTheStoreWasAwayAreWaitedFor: about two seconds, no longer.
func TestEntriesThatLapsedWhileTheStoreWasAwayAreWaitedFor(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.StoreFailed()
	back := epoch.Add(5 * time.Second)
	v.Replace(back, nil, 10)
	is.Equal(ids(v), []string{"a", "b"})
	v.Put(back.Add(time.Second), entry("a", 11))
	is.Equal(len(v.RemoveMissing(back.Add(time.Second))), 0)
	changes := v.RemoveMissing(back.Add(returnGrace))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, ChangeRemoved)
	is.Equal(ids(v), []string{"a"})
}

// TestLeavingEndpointThatLapsesIsNotWaitedFor: what was acknowledged as leaving stays so.
func TestLeavingEndpointThatLapsesIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{leavingEntry("a", 1)}, 1)
	v.StoreFailed()
	v.Replace(epoch.Add(5*time.Second), nil, 2)
	is.Equal(len(v.Known()), 0)
}

// TestEntryThatGoesAfterTheStoresReturnIsGone: only what has not been shown since may have
// lapsed; one that was listed and then removed is leaving.
func TestEntryThatGoesAfterTheStoresReturnIsGone(t *testing.T) {
	is := is.New(t)
	v := NewView()
	list := []Entry{entry("a", 1), entry("b", 2)}
	v.Replace(epoch, list, 2)
	v.StoreFailed()
	back := epoch.Add(5 * time.Second)
	v.Replace(back, list, 9)
	v.Delete(back.Add(time.Second), "a", 10)
	is.Equal(ids(v), []string{"b"})
	v.Replace(back.Add(1500*time.Millisecond), nil, 11)
	is.Equal(len(ids(v)), 0)
}

// TestShortSilenceOfTheStoreExcusesNothing: no endpoint lapses for one lost call.
func TestShortSilenceOfTheStoreExcusesNothing(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1)}, 1)
	v.StoreFailed()
	v.Replace(epoch.Add(awayAfter-time.Millisecond), nil, 2)
	is.Equal(len(v.Known()), 0)
}

// TestSeldomAskedStoreIsNotAway: what a follower, whose lead has lost the store, does not find
// at its own next look has gone, however long ago it looked before.
func TestSeldomAskedStoreIsNotAway(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Replace(epoch.Add(awayAfter+time.Second), []Entry{entry("b", 2)}, 3)
	is.Equal(ids(v), []string{"b"})
}
