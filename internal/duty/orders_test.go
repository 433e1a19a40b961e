package duty

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// TestUnavailableOrderIsRetried checks that an order for which no endpoints were available is
// sent again after a delay, for as long as the endpoints are desired.
func TestUnavailableOrderIsRetried(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	o := newOrders(newFakeStore())
	order := Order{Fleet: "f", DataCentre: "a", Reclaimable: true, Count: 3}
	desired := []DesiredOrder{{Order: order, Present: 3}}

	dueOrders, err := o.dueOrders(epoch, desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(dueOrders, desired)
	o.markUnavailable(epoch, order)

	dueOrders, err = o.dueOrders(epoch.Add(unavailableRetryDelay/2), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(len(dueOrders), 0) // not before the delay has passed
	dueOrders, err = o.dueOrders(epoch.Add(unavailableRetryDelay), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(dueOrders, desired)
	o.markAccepted(epoch, order)

	dueOrders, err = o.dueOrders(epoch.Add(time.Hour), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(len(dueOrders), 0) // an accepted order is not sent again while its endpoints are present
}

// TestLostEndpointsAreOrderedAgain guards against waiting for the platform, which does not
// replace reclaimed endpoints by itself.
func TestLostEndpointsAreOrderedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	o := newOrders(newFakeStore())
	desired := []DesiredOrder{{Order: Order{Fleet: "f", DataCentre: "a", Count: 3}, Present: 3, BootTime: 4 * time.Second}}
	o.markAccepted(epoch, desired[0].Order)
	dueOrders, err := o.dueOrders(epoch.Add(time.Minute), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(len(dueOrders), 0)
	desired[0].Present = 1
	dueOrders, err = o.dueOrders(epoch.Add(4*time.Second), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(len(dueOrders), 0) // they may be booting
	dueOrders, err = o.dueOrders(epoch.Add(time.Minute), desired), o.persist(ctx, desired)
	is.NoErr(err)
	is.Equal(len(dueOrders), 1)
}
