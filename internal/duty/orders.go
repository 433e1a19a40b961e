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

// storedOrders are the orders that were or will be sent.
type storedOrders struct {
	Orders []Order `json:"orders"`
}

// orders keeps what was ordered: in the store, so that a new holder goes on from it, and
// here, so that an order is sent once.
type orders struct {
	store   objectstore.Store
	known   bool
	version uint64
	stored  map[orderKey]int
	// answered are the orders that the platform has taken under this lease.
	answered map[orderKey]sentOrder
	// notBefore is when an order that could not be filled may be sent again.
	notBefore map[orderKey]time.Time
}

// refusedPause is the time before an order that could not be filled is sent again.
const refusedPause = 1500 * time.Millisecond

// repeatPause is how much longer than a boot an order's endpoints may be missing before it
// is sent again.
const repeatPause = 1500 * time.Millisecond

// sentOrder is an order that the platform has taken.
type sentOrder struct {
	count int
	at    time.Time
}

// orderKey is what a later order replaces.
type orderKey struct {
	fleet       string
	dataCentre  string
	reclaimable bool
}

func (o Order) key() orderKey { return orderKey{o.Fleet, o.DataCentre, o.Reclaimable} }

func newOrders(store objectstore.Store) *orders {
	return &orders{store: store, answered: map[orderKey]sentOrder{}, notBefore: map[orderKey]time.Time{}}
}

// forget drops what was read and sent under an earlier lease.
func (o *orders) forget() {
	o.known = false
	o.answered = map[orderKey]sentOrder{}
	o.notBefore = map[orderKey]time.Time{}
}

// next lists the orders to send.
func (o *orders) next(now time.Time, wanted []DesiredOrder) []DesiredOrder {
	var out []DesiredOrder
	for _, w := range wanted {
		if o.due(now, &w) {
			out = append(out, w)
		}
	}
	return out
}

// due reports whether an order is to be sent: a new one, one that could not be filled, or
// one whose endpoints have been lost since.
func (o *orders) due(now time.Time, w *DesiredOrder) bool {
	key := w.key()
	if now.Before(o.notBefore[key]) {
		return false
	}
	sent, ok := o.answered[key]
	if !ok || sent.count != w.Count {
		return true
	}
	return w.Present < w.Count && now.Sub(sent.at) > w.BootTime+repeatPause
}

// keep stores the wanted orders unless they are there.
func (o *orders) keep(ctx context.Context, all []DesiredOrder) error {
	if err := o.read(ctx); err != nil {
		return err
	}
	wanted := make([]Order, 0, len(all))
	same := true
	for _, w := range all {
		wanted = append(wanted, w.Order)
		count, ok := o.stored[w.key()]
		same = same && ok && count == w.Count
	}
	if same {
		return nil
	}
	value, err := json.Marshal(storedOrders{Orders: wanted})
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	object, err := put(ctx, o.store, objectstore.Object{
		Kind: objectstore.KindDesired, Name: ordersName, Version: o.version, Value: value,
	})
	if err != nil {
		o.known = false
		return fmt.Errorf("orders: %w", err)
	}
	o.version = object.Version
	o.set(wanted)
	return nil
}

func (o *orders) set(list []Order) {
	o.stored = make(map[orderKey]int, len(list))
	for _, w := range list {
		o.stored[w.key()] = w.Count
	}
}

func (o *orders) read(ctx context.Context) error {
	if o.known {
		return nil
	}
	object, err := o.store.Get(ctx, objectstore.KindDesired, ordersName)
	if errors.Is(err, objectstore.ErrNotFound) {
		o.known, o.version = true, 0
		o.set(nil)
		return nil
	}
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	var stored storedOrders
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	o.known, o.version = true, object.Version
	o.set(stored.Orders)
	return nil
}

// sent notes that the platform has taken an order.
func (o *orders) sent(now time.Time, order Order) {
	o.answered[order.key()] = sentOrder{order.Count, now}
}

// refused notes that there were no such endpoints to be had.
func (o *orders) refused(now time.Time, order Order) {
	delete(o.answered, order.key())
	o.notBefore[order.key()] = now.Add(refusedPause)
}
