package rollout

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
)

var epoch = time.UnixMilli(startMillis)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// listed returns endpoints of the fleet "f": some of each version.
func listed(counts map[string]int) []registry.Known {
	var known []registry.Known
	for version, n := range counts {
		for i := range n {
			known = append(known, registry.Known{Endpoint: registry.Endpoint{
				ID: fmt.Sprint(version, "-", i), Fleet: "f", Version: version, Slots: 8,
			}})
		}
	}
	return known
}

// newTable returns the table of a host of some that run since before the order.
func newTable(hosts int) *Table {
	t := NewTable(Limits{Share: 0.1, Slack: 50}, func(now time.Time) time.Time { return now })
	t.SetEndpoints(epoch, listed(map[string]int{"v1": 4, "v2": 4}))
	t.SetHosts(hosts, epoch.Add(-time.Minute))
	return t
}

// put records an order as read from the store.
func put(t *Table, now time.Time, e Entry, version objectstore.Version) {
	e.Version = version
	t.Replace(now, now, []Entry{e}, version)
	t.SetHosts(max(t.hosts, 1), epoch.Add(-time.Minute))
}

func old(i int) *registry.Endpoint {
	return &registry.Endpoint{ID: fmt.Sprint("v1-", i), Fleet: "f", Version: "v1"}
}

func target(i int) *registry.Endpoint {
	return &registry.Endpoint{ID: fmt.Sprint("v2-", i), Fleet: "f", Version: "v2"}
}

// allows reports whether the table lets a request go to an endpoint now.
func allows(t *Table, now time.Time, e *registry.Endpoint) bool {
	k, err := t.Begin(now, "f", "r", e, false)
	k.End(now, Result{})
	return err == nil
}

func TestEachStepPermitsItsVersions(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		step        Step
		old, target bool
	}{
		{StepNone, true, false}, {StepCanary, true, true}, {StepSwitch, false, true}, {StepCompleted, false, true},
		{StepRolledBack, true, false},
	} {
		table := newTable(1)
		is.True(allows(table, at(0), target(0))) // without an order
		put(table, at(0), atStep(c.step), 5)
		is.Equal(allows(table, at(0), old(0)), c.old)
		is.Equal(allows(table, at(0), target(0)), c.target)
	}
}

func TestPermissionForTheOldVersionRunsOut(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	e := atStep(StepCanary)
	put(table, at(0), e, 5)
	earliest := time.Duration(e.Record.EarliestSwitchMillis-startMillis) * time.Millisecond
	is.True(allows(table, at(earliest-time.Second), old(0))) // out of touch, but no switch can have begun
	is.True(!allows(table, at(earliest), old(0)))
	is.True(allows(table, at(earliest), target(0)))
	table.Replace(at(earliest), at(earliest), []Entry{{Name: "f", Version: 5, Order: e.Order, Record: e.Record}}, 5)
	is.True(allows(table, at(earliest), old(0)))
	is.True(!allows(table, at(earliest+permitInMesh+time.Millisecond), old(0)))
}

func TestPausedHostFindsItsPermissionGone(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	e := atStep(StepCanary)
	put(table, at(0), e, 5)
	k, err := table.Begin(at(time.Second), "f", "r", old(0), true)
	is.NoErr(err)
	is.NoErr(k.Still(at(time.Second)))
	is.True(errors.Is(k.Still(at(20*time.Second)), ErrNotPermitted))
}

// TestAllHostsTogetherConfirmTheStep has two hosts hear each other and not the store, for longer than a confirmation
// lasts.
func TestAllHostsTogetherConfirmTheStep(t *testing.T) {
	is := is.New(t)
	one, two := newTable(2), newTable(2)
	e := atStep(StepCanary)
	put(one, at(0), e, 5)
	put(two, at(0), e, 5)
	late := at(30 * time.Second)
	is.True(!allows(one, late, old(0)))
	one.Apply(late, "two", two.Report(late), false)
	is.True(allows(one, late, old(0)))
	is.True(!allows(one, late.Add(2*time.Second), old(0)))
	held := two.Report(late)
	one.Apply(late.Add(5*time.Second), "two", held, false) // it was held up
	is.True(!allows(one, late.Add(5*time.Second), old(0)))
	two.BeginSwitch(&Entry{Name: "f", Version: 5})
	one.Apply(late.Add(6*time.Second), "two", two.Report(late.Add(6*time.Second)), false)
	is.True(!allows(one, late.Add(6*time.Second), old(0))) // the other may have switched
}

func TestCompletedOrderRetiresOnlyTheEndpointsOfThen(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	put(table, at(0), atStep(StepSwitch), 5)
	put(table, at(time.Second), atStep(StepCompleted), 6)
	is.True(!allows(table, at(time.Second), old(0)))
	is.True(allows(table, at(time.Second), &registry.Endpoint{ID: "next", Fleet: "f", Version: "v3"}))
}

func TestRolledBackTargetIsFreeAgainOnceItsEndpointsAreGone(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	put(table, at(0), atStep(StepRolledBack), 5)
	is.True(!allows(table, at(0), target(0)))
	leaving := listed(map[string]int{"v1": 4, "v2": 1})
	for i := range leaving {
		leaving[i].Leaving = leaving[i].Version == "v2"
	}
	table.SetEndpoints(at(1), leaving)
	is.True(!allows(table, at(1), target(0)))
	table.SetEndpoints(at(2), listed(map[string]int{"v1": 4}))
	table.SetEndpoints(at(3), listed(map[string]int{"v1": 4, "v2": 4}))
	is.True(allows(table, at(3), target(0)))
}

func TestEndpointsThatComeAfterTheRollBackGetNothing(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetEndpoints(epoch, listed(map[string]int{"v1": 4}))
	put(table, at(0), atStep(StepCanary), 5)
	put(table, at(1), atStep(StepRolledBack), 6)
	table.SetEndpoints(at(2), listed(map[string]int{"v1": 4, "v2": 4}))
	is.True(!allows(table, at(2), target(0)))
	table.SetEndpoints(at(3), listed(map[string]int{"v2": 4}))
	is.True(!allows(table, at(3), target(0)))
	is.True(allows(table, at(2*time.Minute), target(0))) // there is no other
}

func TestHostThatStartsLongAfterARollBackIgnoresIt(t *testing.T) {
	is := is.New(t)
	e := atStep(StepRolledBack)
	e.Record.EndedMillis = startMillis
	table := newTable(1)
	put(table, at(time.Minute), e, 6)
	is.True(!allows(table, at(time.Minute), target(0)))
	is.True(allows(table, at(3*time.Minute), target(0)))
}

func TestWithdrawnOrderBlocksItsTarget(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	put(table, at(0), atStep(StepCanary), 5)
	table.Delete(at(1), "f", 6)
	is.True(allows(table, at(1), old(0)))
	is.True(!allows(table, at(1), target(0)))
	next := order()
	next.Version = 7
	table.Put(at(2), next) // the same order again
	changes := table.TakeChanges()
	is.Equal(changes[len(changes)-1], Change{Fleet: "f", Target: "v2", Kind: "order"})
}

func TestTargetWithoutOldEndpointsGetsAllRequests(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	table.SetEndpoints(epoch, listed(map[string]int{"v2": 4}))
	put(table, at(0), atStep(StepCanary), 5)
	c := table.Choose(at(0), Request{Fleet: "f", Route: "r", Random: 0.99})
	is.True(c.Permitted(target(0)))
	is.True(!c.Canary)
}

func TestStreamsStayAtTheirVersion(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	put(table, at(0), atStep(StepCanary), 5)
	for range 100 {
		c := table.Choose(at(0), Request{Fleet: "f", Route: "r", Pinned: "v1"})
		is.True(c.Permitted(old(0)))
		is.True(!c.Permitted(target(0)))
		c = table.Choose(at(0), Request{Fleet: "f", Route: "r", Pinned: "v2"})
		is.True(!c.Permitted(old(0)))
	}
	put(table, at(1), atStep(StepSwitch), 6)
	c := table.Choose(at(1), Request{Fleet: "f", Route: "r", Pinned: "v1"})
	is.True(!c.Permitted(old(0)))
}

// respond has a table observe responses of an endpoint.
func respond(t *Table, now time.Time, e *registry.Endpoint, count int, r Result) (told bool) {
	for range count {
		k, err := t.Begin(now, "f", "r", e, true)
		if err != nil {
			return told
		}
		told = k.End(now, r) || told
	}
	return told
}

var good = Result{Evidence: true, First: 20 * time.Millisecond}

func TestEvidence(t *testing.T) {
	failed, slow := good, good
	failed.Failed = true
	slow.First = 120 * time.Millisecond
	for _, c := range []struct {
		name string
		play func(*Table)
		stop bool
	}{
		{"good", func(t *Table) { respond(t, at(1), target(0), 200, good) }, false},
		{"failed", func(t *Table) { respond(t, at(1), target(0), 7, failed) }, true},
		{"slow", func(t *Table) { respond(t, at(1), target(0), 7, slow) }, true},
		{"few failed", func(t *Table) { respond(t, at(1), target(0), 3, failed) }, false},
		{"some failed of many", func(t *Table) {
			for range 40 {
				respond(t, at(1), target(0), 9, good)
				respond(t, at(1), target(0), 1, failed)
			}
		}, true},
		{"both versions fail", func(t *Table) {
			for range 100 {
				respond(t, at(1), old(0), 1, failed)
				respond(t, at(1), target(0), 1, failed)
			}
		}, false},
		{"slow now and then, as the old one", func(t *Table) {
			for range 6 {
				respond(t, at(1), old(0), 9, good)
				respond(t, at(1), old(0), 1, slow)
				respond(t, at(1), target(0), 8, good)
				respond(t, at(1), target(0), 2, slow)
			}
		}, false},
		{"refused", func(t *Table) { respond(t, at(1), target(0), 100, Result{}) }, false},
		{"callers leave early", func(t *Table) {
			respond(t, at(1), target(0), 100, Result{Evidence: true, Unfinished: true, First: time.Millisecond})
		}, false},
		{"callers leave a slow version", func(t *Table) {
			respond(t, at(1), target(0), 100, Result{Evidence: true, Unfinished: true, First: 2 * time.Second})
		}, true},
		{"an endpoint crashes", func(t *Table) { respond(t, at(1), target(0), 100, Result{Evidence: true, Cut: true}) }, false},
		{"endpoints keep cutting responses off", func(t *Table) {
			for i := range 20 {
				respond(t, at(time.Duration(i)*3*time.Second/2), target(i%4), 1, Result{Evidence: true, Cut: true})
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(1)
			e := atStep(StepCanary)
			e.Order.Duration, e.Record.EarliestSwitchMillis = time.Hour, startMillis+3_600_000
			put(table, at(0), e, 5)
			respond(table, at(0), old(0), 100, good)
			c.play(table)
			is.Equal(!allows(table, at(2), target(0)), c.stop)
			is.True(allows(table, at(2), old(0)))
		})
	}
}

func TestWarmingEndpointIsNotSlow(t *testing.T) {
	is := is.New(t)
	table := NewTable(Limits{Share: 0.1, Slack: 50}, func(now time.Time) time.Time { return now })
	known := listed(map[string]int{"v1": 4, "v2": 4})
	for i := range known {
		known[i].WarmupLeft = time.Minute
	}
	table.SetEndpoints(epoch, known)
	put(table, at(0), atStep(StepCanary), 5)
	respond(table, at(0), old(0), 100, good)
	slow := good
	slow.First = time.Second
	respond(table, at(1), target(0), 50, slow)
	is.True(allows(table, at(1), target(0)))
}

func TestBadOnOneRoute(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	put(table, at(0), atStep(StepCanary), 5)
	respond(table, at(0), target(0), 500, good)
	failed := good
	failed.Failed = true
	for range 8 {
		if k, err := table.Begin(at(1), "f", "rare", target(0), true); err == nil {
			k.End(at(1), failed)
		}
	}
	is.True(!allows(table, at(1), target(0)))
}

func TestOtherHostsStopToo(t *testing.T) {
	is := is.New(t)
	failed := good
	failed.Failed = true
	tables := []*Table{newTable(4), newTable(4), newTable(4), newTable(4)}
	for _, table := range tables {
		put(table, at(0), atStep(StepCanary), 5)
		respond(table, at(0), target(0), 2, failed) // too few for one host
		is.True(allows(table, at(1), target(0)))
	}
	for i, from := range tables {
		tables[0].Apply(at(1), fmt.Sprint(i), from.Report(at(1)), false)
	}
	is.True(!allows(tables[0], at(1), target(0)))
	tables[1].Apply(at(1), "0", tables[0].Report(at(1)), false)
	is.True(!allows(tables[1], at(1), target(0)))
	// A follower hears it from its leader.
	follower := newTable(4)
	put(follower, at(0), atStep(StepCanary), 5)
	is.True(follower.ApplyDigest(at(1), time.Time{}, "0", tables[0].Digest()))
	is.True(!allows(follower, at(1), target(0)))
	// The stop does not hold for another order.
	again := atStep(StepCanary)
	again.Record.StartMillis++
	put(tables[0], at(2), again, 9)
	is.True(allows(tables[0], at(2), target(0)))
}

// TestNobodyRefusesWhileTheStoreIsDown has all hosts stop, so that no switch can follow.
func TestNobodyRefusesWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	one, two := newTable(2), newTable(2)
	failed := good
	failed.Failed = true
	for _, table := range []*Table{one, two} {
		put(table, at(0), atStep(StepCanary), 5)
		respond(table, at(0), target(0), 20, failed)
	}
	late := at(time.Minute)
	is.True(!allows(one, late, old(0)))
	one.Apply(late, "two", two.Report(late), false)
	is.True(allows(one, late.Add(time.Hour), old(0)))
}

func TestHostIsIdleOnceNothingRunsAtOldEndpoints(t *testing.T) {
	is := is.New(t)
	table := newTable(1)
	k, err := table.Begin(at(0), "f", "r", old(0), true) // before the order
	is.NoErr(err)
	put(table, at(1), atStep(StepSwitch), 5)
	o := table.Overviews(at(2), 1, time.Second)[0]
	is.Equal(o.Facts.OldRunning, 1)
	is.True(!o.Facts.AllIdle)
	is.True(k.End(at(2), good)) // others are told
	o = table.Overviews(at(2), 1, time.Second)[0]
	is.True(o.Facts.AllIdle)
	is.True(!table.Overviews(at(2), 2, time.Second)[0].Facts.AllIdle) // another host may run
}

func TestFollowersAreCountedThroughTheirLeader(t *testing.T) {
	is := is.New(t)
	leader, follower, decider := newTable(3), newTable(3), newTable(3)
	for _, table := range []*Table{leader, follower, decider} {
		put(table, at(0), atStep(StepSwitch), 5)
	}
	leader.Apply(at(0), "follower", follower.Report(at(0)), true)
	decider.Apply(at(0), "leader", leader.Report(at(0)), false)
	is.True(decider.Overviews(at(0), 3, time.Second)[0].Facts.AllIdle)
	leader.Left("follower")
	decider.Apply(at(0), "leader", leader.Report(at(0)), false)
	is.True(!decider.Overviews(at(0), 3, time.Second)[0].Facts.AllIdle)
}
