package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/objectstore"
)

const ordersName = "orders"

// storedOrders is the stored form of the orders that should be in force.
type storedOrders struct {
	Orders []Order `json:"orders"`
}

// orders tracks which orders the platform has accepted under the current lease, so that an order
// is sent again only if it changes or its endpoints are missing. A new lease holder sends every
// order again: the stored copy records which orders are wanted, but nothing is planned from it.
type orders struct {
	store objectstore.Store
	// loaded means that version and stored, which holds the counts, are as in the store.
	loaded  bool
	version objectstore.Version
	stored  map[orderKey]int
	// accepted are the orders that the platform has accepted under the current lease.
	accepted map[orderKey]acceptedOrder
	// notBefore is the earliest time to send an order again for which no endpoints were available.
	notBefore map[orderKey]time.Time
}

// unavailableRetryDelay is the time before an order for which no endpoints were available is
// sent again.
const unavailableRetryDelay = 1500 * time.Millisecond

// missingRetryDelay is how long after an order was accepted its endpoints may be missing, in
// addition to their boot time, before the order is sent again.
const missingRetryDelay = 1500 * time.Millisecond

// acceptedOrder is an order that the platform has accepted.
type acceptedOrder struct {
	count int
	at    time.Time
}

// orderKey is what orders have in common if the newer one replaces the older one.
type orderKey struct {
	fleet       string
	dataCentre  string
	reclaimable bool
}

func (o Order) key() orderKey { return orderKey{o.Fleet, o.DataCentre, o.Reclaimable} }

func newOrders(store objectstore.Store) *orders {
	return &orders{store: store, accepted: map[orderKey]acceptedOrder{}, notBefore: map[orderKey]time.Time{}}
}

// reset discards what was read and sent under an earlier lease.
func (o *orders) reset() {
	o.loaded = false
	o.accepted = map[orderKey]acceptedOrder{}
	o.notBefore = map[orderKey]time.Time{}
}

// dueOrders returns those of the desired orders that have to be sent now.
func (o *orders) dueOrders(now time.Time, desired []DesiredOrder) []DesiredOrder {
	var out []DesiredOrder
	for _, d := range desired {
		if o.isDue(now, &d) {
			out = append(out, d)
		}
	}
	return out
}

// isDue reports whether an order must be sent: because the platform has not accepted this count
// under the current lease, or because some of its endpoints are still missing, or missing again,
// BootTime and missingRetryDelay after it was accepted. An order for which no endpoints were
// available waits for unavailableRetryDelay first.
func (o *orders) isDue(now time.Time, d *DesiredOrder) bool {
	key := d.key()
	if now.Before(o.notBefore[key]) {
		return false
	}
	sent, ok := o.accepted[key]
	if !ok || sent.count != d.Count {
		return true
	}
	return d.Present < d.Count && now.Sub(sent.at) > d.BootTime+missingRetryDelay
}

// persist stores the orders, unless all of them are already stored with the same counts.
func (o *orders) persist(ctx context.Context, all []DesiredOrder) error {
	if err := o.load(ctx); err != nil {
		return err
	}
	desired := make([]Order, 0, len(all))
	same := true
	for _, d := range all {
		desired = append(desired, d.Order)
		count, ok := o.stored[d.key()]
		same = same && ok && count == d.Count
	}
	if same {
		return nil
	}
	value, err := json.Marshal(storedOrders{Orders: desired})
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	object, err := put(ctx, o.store, objectstore.Object{
		Kind: objectstore.KindDesired, Name: ordersName, Version: o.version, Value: value,
	})
	if err != nil {
		o.loaded = false
		return fmt.Errorf("orders: %w", err)
	}
	o.version = object.Version
	o.setStored(desired)
	return nil
}

func (o *orders) setStored(list []Order) {
	o.stored = make(map[orderKey]int, len(list))
	for _, order := range list {
		o.stored[order.key()] = order.Count
	}
}

// load reads the stored orders unless they are loaded.
func (o *orders) load(ctx context.Context) error {
	if o.loaded {
		return nil
	}
	object, err := o.store.Get(ctx, objectstore.KindDesired, ordersName)
	if errors.Is(err, objectstore.ErrNotFound) {
		o.loaded, o.version = true, 0
		o.setStored(nil)
		return nil
	}
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	var stored storedOrders
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	o.loaded, o.version = true, object.Version
	o.setStored(stored.Orders)
	return nil
}

// markAccepted records that the platform has accepted an order.
func (o *orders) markAccepted(now time.Time, order Order) {
	o.accepted[order.key()] = acceptedOrder{order.Count, now}
}

// markUnavailable records that no endpoints were available for an order.
func (o *orders) markUnavailable(now time.Time, order Order) {
	delete(o.accepted, order.key())
	o.notBefore[order.key()] = now.Add(unavailableRetryDelay)
}
