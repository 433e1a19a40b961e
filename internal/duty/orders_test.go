package duty

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// TestOrderThatCouldNotBeFilledIsSentAgain: endpoints that were not to be had are asked for
// again after a pause, for as long as they are wanted.
func TestOrderThatCouldNotBeFilledIsSentAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	o := newOrders(newFakeStore())
	order := Order{Fleet: "f", DataCentre: "a", Reclaimable: true, Count: 3}
	wanted := []DesiredOrder{{Order: order, Present: 3}}

	next, err := o.next(epoch, wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(next, wanted)
	o.refused(epoch, order)

	next, err = o.next(epoch.Add(refusedPause/2), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(len(next), 0) // not at once
	next, err = o.next(epoch.Add(refusedPause), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(next, wanted)
	o.sent(epoch, order)

	next, err = o.next(epoch.Add(time.Hour), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(len(next), 0) // what was taken is sent once
}

// TestLostEndpointsAreOrderedAgain: the platform does not replace by itself what it took
// back.
func TestLostEndpointsAreOrderedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	o := newOrders(newFakeStore())
	wanted := []DesiredOrder{{Order: Order{Fleet: "f", DataCentre: "a", Count: 3}, Present: 3, BootTime: 4 * time.Second}}
	o.sent(epoch, wanted[0].Order)
	next, err := o.next(epoch.Add(time.Minute), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(len(next), 0)
	wanted[0].Present = 1
	next, err = o.next(epoch.Add(4*time.Second), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(len(next), 0) // they may be booting
	next, err = o.next(epoch.Add(time.Minute), wanted), o.keep(ctx, wanted)
	is.NoErr(err)
	is.Equal(len(next), 1)
}
