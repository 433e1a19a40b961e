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

// fakeLease is held under its fencing token unless that is zero.
type fakeLease struct {
	fencing       uint64
	uninterrupted bool
}

func (l *fakeLease) Valid(time.Time) (uint64, bool) { return l.fencing, l.fencing != 0 }

func newTestRunner(l Lease) *Runner {
	planner := NewPlanner(Sources{
		Configuration: func() *fleet.Configuration { return nil },
		Endpoints:     func() []registry.Known { return nil },
		Demand:        func(time.Time) map[string]heartbeat.FleetDemand { return nil },
	})
	return NewRunner(Dependencies{
		Name: "n", Lease: l, Store: newFakeStore(), Eras: new(objectstore.EraTracker), Usage: usage.NewLedger(window), Planner: planner,
		ClusterClock: clock.NewClusterClock(clock.Now(), time.Now()), HandoverDelay: 3 * time.Second,
	})
}

func (l *fakeLease) Uninterrupted() bool { return l.uninterrupted }

// TestHolderWaitsAfterAnotherHolder checks that a host that has made calls recently, or has
// just started, waits after another host has held the lease, and that one without recent calls
// does not wait.
func TestHolderWaitsAfterAnotherHolder(t *testing.T) {
	is := is.New(t)
	l := &fakeLease{fencing: 1, uninterrupted: true}
	r := newTestRunner(l)
	_, ok := r.mayCall()
	is.True(ok) // the first holder ever
	l.fencing, l.uninterrupted = 0, false
	_, ok = r.mayCall()
	is.True(!ok)
	l.fencing = 3
	_, ok = r.mayCall()
	is.True(!ok) // another host held the lease in between
	r.lastCallAt = clock.Now().Add(-time.Minute)
	l.fencing = 5
	by, ok := r.mayCall()
	is.True(ok)
	is.Equal(by.FencingToken, uint64(5))

	restarted := newTestRunner(&fakeLease{fencing: 6})
	_, ok = restarted.mayCall()
	is.True(!ok)
	previousHolder := newTestRunner(&fakeLease{fencing: 6, uninterrupted: true})
	_, ok = previousHolder.mayCall()
	is.True(ok) // its previous run was the last holder
}

// silentStore does not answer until its caller gives up.
type silentStore struct{ objectstore.Store }

func (silentStore) Get(ctx context.Context, _ objectstore.Kind, _ string) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, errStoreUnavailable
}

// acceptedOrders is a platform that records the orders it has accepted.
type acceptedOrders struct{ orders []Order }

func (*acceptedOrders) ReportUsage(context.Context, Holder, int64, map[string]int64) error {
	return nil
}

func (p *acceptedOrders) Order(ctx context.Context, _ Holder, o Order) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	p.orders = append(p.orders, o)
	return nil
}

// TestOrdersAreSentWhileTheStoreIsUnavailable checks that orders depend on the lease and not on
// the stored numbers, that a store that does not answer does not use up the time of the orders,
// and that the failure is logged.
func TestOrdersAreSentWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	unavailable := newFakeStore()
	unavailable.err = errStoreUnavailable
	for _, store := range []objectstore.Store{unavailable, silentStore{}} {
		var logged bytes.Buffer
		platform := &acceptedOrders{}
		r := newTestRunner(&fakeLease{fencing: 1, uninterrupted: true})
		r.Platform, r.CallTimeout = platform, 20*time.Millisecond
		r.Log = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
		r.orders = newOrders(store)
		desired := Order{Fleet: "f", DataCentre: "a", Count: 1}
		r.scale(context.Background(), []DesiredOrder{{Order: desired}})
		is.Equal(platform.orders, []Order{desired})
		is.True(strings.Contains(logged.String(), "orders not stored"))
	}
}
