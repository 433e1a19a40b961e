package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
)

var epoch = time.Unix(1000, 0)

func entry(id string, version objectstore.Version) Entry {
	return Entry{Endpoint{ID: id, Fleet: "f", Address: "1.2.3.4:5", Slots: 1, StartMillis: 1}, version}
}

func leavingEntry(id string, version objectstore.Version) Entry {
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

// TestStaleListDoesNotReviveLeavingEndpoint guards against a list that was read before an endpoint
// was marked as leaving and arrives after the watch has observed the mark: it must change nothing.
func TestStaleListDoesNotReviveLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Put(epoch, leavingEntry("a", 5))
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 4)
	is.Equal(ids(v), []string{"b"})
	// A later heartbeat of the same run changes nothing either if it is not marked as leaving.
	v.Put(epoch, entry("a", 6))
	is.Equal(ids(v), []string{"b"})
	// A new run under the same ID is a new endpoint.
	again := entry("a", 7)
	again.Endpoint.StartMillis = 2
	v.Put(epoch, again)
	is.Equal(ids(v), []string{"a", "b"})
}

func TestUnlistedEndpointIsRemovedImmediately(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Replace(epoch, []Entry{entry("b", 2)}, 3)
	is.Equal(ids(v), []string{"b"})
	v.Delete(epoch, "b", 4)
	is.Equal(len(v.Known()), 0)
}

// TestEntriesThatExpiredDuringOutageAreKept checks that entries which are not listed after an
// outage are kept for recoveryGrace and no longer.
func TestEntriesThatExpiredDuringOutageAreKept(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.StoreFailed()
	recovered := epoch.Add(5 * time.Second)
	v.Replace(recovered, nil, 10)
	is.Equal(ids(v), []string{"a", "b"})
	v.Put(recovered.Add(time.Second), entry("a", 11))
	is.Equal(len(v.RemoveMissing(recovered.Add(time.Second))), 0)
	changes := v.RemoveMissing(recovered.Add(recoveryGrace))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, ChangeRemoved)
	is.Equal(ids(v), []string{"a"})
}

// TestLeavingEndpointIsNotKeptAfterOutage checks that a leaving endpoint whose entry expires
// during an outage is removed at once instead of being kept as missing.
func TestLeavingEndpointIsNotKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{leavingEntry("a", 1)}, 1)
	v.StoreFailed()
	v.Replace(epoch.Add(5*time.Second), nil, 2)
	is.Equal(len(v.Known()), 0)
}

// TestEntryRemovedAfterOutageIsGone checks that only an entry not observed since the outage
// counts as possibly expired. One that was listed after the outage and then removed is gone.
func TestEntryRemovedAfterOutageIsGone(t *testing.T) {
	is := is.New(t)
	v := NewView()
	list := []Entry{entry("a", 1), entry("b", 2)}
	v.Replace(epoch, list, 2)
	v.StoreFailed()
	recovered := epoch.Add(5 * time.Second)
	v.Replace(recovered, list, 9)
	v.Delete(recovered.Add(time.Second), "a", 10)
	is.Equal(ids(v), []string{"b"})
	v.Replace(recovered.Add(1500*time.Millisecond), nil, 11)
	is.Equal(len(ids(v)), 0)
}

// TestShortOutageKeepsNoEntries checks that unlisted entries are removed at once if the store
// responds again within outageThreshold: no endpoint's entry expires in so short a time.
func TestShortOutageKeepsNoEntries(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1)}, 1)
	v.StoreFailed()
	v.Replace(epoch.Add(outageThreshold-time.Millisecond), nil, 2)
	is.Equal(len(v.Known()), 0)
}

// TestRarelyQueriedStoreIsNotUnavailable guards against mistaking a rarely queried store for an
// outage. A follower whose leader has lost the store queries it only now and then. An endpoint that is
// missing from the list that such a follower reads is gone, however long ago its previous query was.
func TestRarelyQueriedStoreIsNotUnavailable(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.Replace(epoch.Add(outageThreshold+time.Second), []Entry{entry("b", 2)}, 3)
	is.Equal(ids(v), []string{"b"})
}

// TestCopyDoesNotReviveEndedEndpoint checks that a restored store, whose copy still lists an endpoint that
// has ended, gets it no new work, and that an endpoint that drains stays so.
func TestCopyDoesNotReviveEndedEndpoint(t *testing.T) {
	is := is.New(t)
	v := NewView()
	at := func(revision uint64) objectstore.Version { return objectstore.NewVersion(1, revision) }
	copied := []Entry{entry("ended", at(1)), entry("draining", at(2)), entry("other", at(3))}
	v.Replace(epoch, copied, at(3))
	v.Delete(epoch, "ended", at(4))
	v.Put(epoch, leavingEntry("draining", at(5)))

	restored := epoch.Add(time.Second)
	v.StoreRestored(restored)
	for i := range copied {
		copied[i].Version = objectstore.NewVersion(2, copied[i].Version.Revision())
	}
	v.Replace(restored, copied, objectstore.NewVersion(2, 3))
	for _, k := range v.Known() {
		is.True(k.ID != "ended")
		is.Equal(k.Leaving, k.ID == "draining")
	}
	// An entry that is still listed when a copied one would have expired belongs to a live endpoint.
	v.Replace(restored.Add(copiedEntryLifetime), copied, objectstore.NewVersion(2, 3))
	is.Equal(len(v.Known()), 3)
}

// TestEndpointsThatTheCopyLacksGoOnServing checks that endpoints started after the copy are used until
// they have had the time to register again.
func TestEndpointsThatTheCopyLacksGoOnServing(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("old", objectstore.NewVersion(1, 1)), entry("new", objectstore.NewVersion(1, 9))},
		objectstore.NewVersion(1, 9))
	restored := epoch.Add(time.Second)
	v.StoreRestored(restored)
	copied := []Entry{entry("old", objectstore.NewVersion(2, 1))}
	v.Replace(restored, copied, objectstore.NewVersion(2, 3))
	is.Equal(ids(v), []string{"new", "old"})
	v.RemoveMissing(restored.Add(recoveryGrace - time.Millisecond))
	is.Equal(ids(v), []string{"new", "old"})
	v.RemoveMissing(restored.Add(recoveryGrace))
	is.Equal(ids(v), []string{"old"})
}

// TestMissingEndpointThatReturnsLeavingIsShownAsLeaving checks that the change that ends new work is not
// hidden by the return of the entry.
func TestMissingEndpointThatReturnsLeavingIsShownAsLeaving(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1)}, 1)
	v.StoreFailed()
	back := epoch.Add(outageThreshold + time.Second)
	missing := v.Replace(back, nil, 2)
	is.Equal(len(missing), 1)
	is.Equal(missing[0].Kind, ChangeMissing)
	returned := v.Put(back.Add(time.Millisecond), leavingEntry("a", 3))
	is.Equal(len(returned), 1)
	is.Equal(returned[0].Kind, ChangeLeaving)
}

// TestRemovalIsFinalForAHostThatWasCutOffAlone guards against a host that takes its own loss of the store for an
// outage of the store, and goes on using endpoints that are gone.
func TestRemovalIsFinalForAHostThatWasCutOffAlone(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.StoreFailed()
	for i := range 12 {
		v.PeerConfirmed(epoch.Add(time.Duration(i) * time.Second))
	}
	changes := v.Replace(epoch.Add(12*time.Second), []Entry{entry("b", 2)}, 3)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, ChangeRemoved)
	is.Equal(ids(v), []string{"b"})
}

func TestEntriesThatExpiredDuringOutageAreKeptIfAPeerIsBackFirst(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(epoch, []Entry{entry("a", 1), entry("b", 2)}, 2)
	v.PeerConfirmed(epoch)
	v.StoreFailed()
	back := epoch.Add(10 * time.Second)
	v.PeerConfirmed(back)
	changes := v.Replace(back.Add(time.Second), []Entry{entry("b", 2)}, 3)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Kind, ChangeMissing)
	is.Equal(len(v.RemoveMissing(back.Add(recoveryGrace-1))), 0)
	is.Equal(len(v.RemoveMissing(back.Add(recoveryGrace))), 1)
}
