package duty

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/usage"
)

// tick is the time between two looks at what is due.
const tick = 250 * time.Millisecond

// firstFencing is the number of the first holder ever: nobody has acted before it.
const firstFencing = 1

// Lease tells whether this host holds the duties now.
type Lease interface {
	Valid(now time.Time) (fencing uint64, ok bool)
	// Uninterrupted reports whether nobody else held the lease since this host last did.
	Uninterrupted() bool
}

// Dependencies are what a Runner works with.
type Dependencies struct {
	// Name is this host's.
	Name         string
	Lease        Lease
	Platform     Platform
	Store        objectstore.Store
	Usage        *usage.Ledger
	ClusterClock *clock.ClusterClock
	Planner      *Planner
	Log          *log.Logger
	// ReportUsage and Scale say which duties there are.
	ReportUsage bool
	Scale       bool
	// HandoverDelay is the time in which hosts must not take turns: a host that has made a call
	// makes none for so long after another has held the lease.
	HandoverDelay time.Duration
	// CallTimeout bounds each call.
	CallTimeout time.Duration
}

// Runner does the duties while this host holds the lease.
type Runner struct {
	Dependencies
	reporter *reporter
	orders   *orders
	// fencing and heldSince are the lease as it was last seen.
	fencing uint64
	// actedAt is when this host may last have made a call, in this run or the one before.
	actedAt time.Time
	// waitUntil is when it may begin under the lease it holds.
	waitUntil time.Time
}

// NewRunner returns a runner that does nothing until Run.
func NewRunner(p Dependencies) *Runner {
	r := &Runner{Dependencies: p, reporter: newReporter(p.Store, p.Usage), orders: newOrders(p.Store), actedAt: clock.Now()}
	r.reporter.first = p.Usage.Window(p.ClusterClock.At(clock.Now()))
	return r
}

// Run works until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx)
		}
	}
}

// holder returns this host as the holder if it may act now.
func (r *Runner) holder() (Holder, bool) {
	now := clock.Now()
	fencing, held := r.Lease.Valid(now)
	if !held {
		r.fencing = 0
		return Holder{}, false
	}
	if fencing != r.fencing {
		r.takeOver(fencing)
	}
	if now.Before(r.waitUntil) {
		return Holder{}, false
	}
	r.actedAt = now
	return Holder{Name: r.Name, FencingToken: fencing}, true
}

// takeOver begins a time of holding the lease. Another host may have made calls since this
// one last did, so that this one waits until its own are old enough.
func (r *Runner) takeOver(fencing uint64) {
	r.fencing = fencing
	r.waitUntil = time.Time{}
	if fencing > firstFencing && !r.Lease.Uninterrupted() {
		r.waitUntil = r.actedAt.Add(r.HandoverDelay)
	}
	r.reporter.forget()
	r.orders.forget()
}

func (r *Runner) step(ctx context.Context) {
	// Every host plans, so that the next holder knows what was asked of late.
	wanted := r.Planner.Plan(clock.Now())
	if _, ok := r.holder(); !ok {
		return
	}
	if r.ReportUsage {
		r.report(ctx)
	}
	if r.Scale {
		r.scale(ctx, wanted)
	}
}

// bounded gives one call its time: a store that is silent must not use up that of the orders.
func (r *Runner) bounded(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	return call(ctx)
}

func (r *Runner) report(ctx context.Context) {
	due := r.reporter.due(r.ClusterClock.At(clock.Now()))
	if len(due) == 0 {
		return
	}
	prepare := func(ctx context.Context) error { return r.reporter.prepare(ctx, due) }
	if err := r.bounded(ctx, prepare); err != nil {
		r.Log.Warn().Err(err).Int("windows", len(due)).Msg("usage not stored")
		return
	}
	for _, window := range due {
		if !r.reportWindow(ctx, window) {
			return
		}
	}
}

func (r *Runner) reportWindow(ctx context.Context, window int64) bool {
	by, ok := r.holder()
	counts, stored := r.reporter.stored.Windows[window]
	if !ok || !stored {
		return false
	}
	err := r.bounded(ctx, func(ctx context.Context) error {
		return r.Platform.ReportUsage(ctx, by, window, counts)
	})
	line := r.Log.Info()
	if err != nil {
		line = r.Log.Warn().Err(err)
	}
	line.Int64("window", window).Uint64("fencing", by.FencingToken).Any("counts", counts).Msg("usage reported")
	if err != nil {
		return false
	}
	r.reporter.done[window] = true
	return true
}

func (r *Runner) scale(ctx context.Context, wanted []DesiredOrder) {
	next := r.orders.next(clock.Now(), wanted)
	if len(next) == 0 {
		return
	}
	err := r.bounded(ctx, func(ctx context.Context) error { return r.orders.keep(ctx, wanted) })
	if err != nil {
		// The next holder then goes on from older numbers and the list of endpoints.
		r.Log.Warn().Err(err).Int("orders", len(next)).Msg("orders not stored")
	}
	for _, o := range next {
		if !r.order(ctx, o) {
			return
		}
	}
}

func (r *Runner) order(ctx context.Context, w DesiredOrder) bool {
	o := w.Order
	by, ok := r.holder()
	if !ok {
		return false
	}
	err := r.bounded(ctx, func(ctx context.Context) error { return r.Platform.Order(ctx, by, o) })
	line := r.Log.Info()
	if err != nil {
		line = r.Log.Warn().Err(err)
	}
	line.Str("fleet", o.Fleet).Str("data_centre", o.DataCentre).Bool("reclaimable", o.Reclaimable).
		Int("count", o.Count).Int("present", w.Present).Float64("need", w.NeededEngines).Float64("rate", w.RequestRate).Uint64("fencing", by.FencingToken).Msg("endpoints ordered")
	r.Planner.ObserveResult(clock.Now(), o, err)
	switch {
	case err == nil:
		r.orders.sent(clock.Now(), o)
	case errors.Is(err, ErrNoneAvailable):
		r.orders.refused(clock.Now(), o)
	default:
		return false
	}
	return true
}
