package duty

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
	"rattanchute/internal/usage"
)

// fakeLease is held under a number while it is not zero.
type fakeLease struct {
	fencing   uint64
	continues bool
}

func (l *fakeLease) Valid(time.Time) (uint64, bool) { return l.fencing, l.fencing != 0 }

func newTestRunner(l Lease) *Runner {
	planner := NewPlanner(Sources{
		Configuration: func() *fleet.Configuration { return nil },
		Endpoints:     func() []registry.Known { return nil },
		Demand:        func(time.Time) map[string]heartbeat.FleetDemand { return nil },
	})
	return NewRunner(Dependencies{
		Name: "n", Lease: l, Store: newFakeStore(), Usage: usage.NewLedger(window), Planner: planner,
		ClusterClock: clock.NewTrueTime(clock.Now(), time.Now()), HandoverDelay: 3 * time.Second,
	})
}

func (l *fakeLease) Uninterrupted() bool { return l.continues }

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
	is.Equal(by.FencingToken, uint64(5))

	restarted := newTestRunner(&fakeLease{fencing: 6})
	_, ok = restarted.holder()
	is.True(!ok)
	alone := newTestRunner(&fakeLease{fencing: 6, continues: true})
	_, ok = alone.holder()
	is.True(ok) // its earlier run was the last holder
}

// silentStore answers nothing until its caller gives up.
type silentStore struct{ objectstore.Store }

func (silentStore) Get(ctx context.Context, _ objectstore.Kind, _ string) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, errStoreAway
}

// takenOrders are the orders that a platform has taken.
type takenOrders struct{ orders []Order }

func (*takenOrders) ReportUsage(context.Context, Holder, int64, map[string]int64) error { return nil }

func (p *takenOrders) Order(ctx context.Context, _ Holder, o Order) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	p.orders = append(p.orders, o)
	return nil
}

// TestOrdersGoOutWhileTheStoreIsAway: the lease, not the stored numbers, says who may order; a
// store that is silent takes no time from the orders, and the failure is told all the same.
func TestOrdersGoOutWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	away := newFakeStore()
	away.err = errStoreAway
	for _, store := range []objectstore.Store{away, silentStore{}} {
		var told bytes.Buffer
		platform := &takenOrders{}
		r := newTestRunner(&fakeLease{fencing: 1})
		r.Platform, r.CallTimeout = platform, 20*time.Millisecond
		r.Log = &log.Logger{Writer: &log.IOWriter{Writer: &told}}
		r.orders = newOrders(store)
		wanted := Order{Fleet: "f", DataCentre: "a", Count: 1}
		r.scale(context.Background(), []DesiredOrder{{Order: wanted}})
		is.Equal(platform.orders, []Order{wanted})
		is.True(strings.Contains(told.String(), "orders not stored"))
	}
}
