package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/peering"
	"rattanchute/internal/registry"
	"rattanchute/internal/usage"
)

// fakeLease is held under a number while it is not zero.
type fakeLease struct{ fencing uint64 }

func (l *fakeLease) Valid(time.Time) (uint64, bool) { return l.fencing, l.fencing != 0 }

func newTestRunner(l Lease) *Runner {
	planner := NewPlanner(Sources{
		Configuration: func() *fleet.Configuration { return nil },
		Endpoints:     func() []registry.Known { return nil },
		Demand:        func(time.Time) map[string]peering.FleetDemand { return nil },
	})
	return NewRunner(Parts{
		Name: "n", Lease: l, Store: newFakeStore(), Usage: usage.NewLedger(window), Planner: planner,
		TrueTime: clock.NewTrueTime(clock.Now(), time.Now()), TurnTime: 3 * time.Second,
	})
}

// TestHostsDoNotTakeTurnsWithinTheTime: a host that has made calls, or has just started,
// waits after another has held the lease; one that has made none for long does not.
func TestHostsDoNotTakeTurnsWithinTheTime(t *testing.T) {
	is := is.New(t)
	l := &fakeLease{fencing: 1}
	r := newTestRunner(l)
	_, ok := r.holder()
	is.True(ok) // the first holder ever
	l.fencing = 0
	_, ok = r.holder()
	is.True(!ok)
	l.fencing = 3
	_, ok = r.holder()
	is.True(!ok) // another held it in between
	r.actedAt = clock.Now().Add(-time.Minute)
	l.fencing = 5
	by, ok := r.holder()
	is.True(ok)
	is.Equal(by.Fencing, uint64(5))

	restarted := newTestRunner(&fakeLease{fencing: 6})
	_, ok = restarted.holder()
	is.True(!ok)
}
