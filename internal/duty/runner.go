package duty

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/usage"
)

// tickInterval is the time between two checks for due work.
const tickInterval = 250 * time.Millisecond

// Lease is this host's view of the lease.
type Lease interface {
	// Valid reports whether this host holds the lease now, and the fencing token.
	Valid(now time.Time) (fencing uint64, ok bool)
	// Uninterrupted reports whether this host, when it last acquired the lease, took it over from
	// itself, so that no other host held it in between, or was the first holder ever.
	Uninterrupted() bool
}

// Dependencies are what a Runner works with, and its settings.
type Dependencies struct {
	// Name is the name of this host.
	Name     string
	Lease    Lease
	Platform Platform
	Store    objectstore.Store
	// Eras tracks the eras of Store.
	Eras         *objectstore.EraTracker
	Usage        *usage.Ledger
	ClusterClock *clock.ClusterClock
	Planner      *Planner
	Log          *log.Logger
	// ReportUsage and Scale enable the duties.
	ReportUsage bool
	Scale       bool
	// HandoverDelay is the time within which hosts must not alternate as callers. After another
	// host may have held the lease, this host makes no call until HandoverDelay after its own
	// last call.
	HandoverDelay time.Duration
	// CallTimeout limits each call.
	CallTimeout time.Duration
}

// Runner performs the duties while this host holds the lease.
type Runner struct {
	Dependencies
	reporter *reporter
	orders   *orders
	// fencing is the fencing token at the last check of the lease; zero if it was not held then.
	fencing uint64
	// lastCallAt is the latest time at which this host may have begun a call, in this run or the
	// previous one, which may have made calls until this one started.
	lastCallAt time.Time
	// waitUntil is when this host may start to make calls under the current lease.
	waitUntil time.Time
	// restoredInWindow is the usage window in which the store was last restored from an older copy while
	// another host may have held the lease; zero if never.
	restoredInWindow atomic.Int64
}

// NewRunner returns a runner that does nothing until Run is called.
func NewRunner(d Dependencies) *Runner {
	r := &Runner{
		Dependencies: d, reporter: newReporter(d.Store, d.Eras, d.Usage), orders: newOrders(d.Store),
		lastCallAt: clock.Now(),
	}
	r.reporter.firstWindow = d.Usage.Window(d.ClusterClock.At(clock.Now()))
	return r
}

// OnRestore records that the store was restored from an older copy now. It may be called while Run
// runs.
func (r *Runner) OnRestore() {
	now := clock.Now()
	if _, held := r.Lease.Valid(now); held {
		// This host knows what it has reported.
		return
	}
	r.restoredInWindow.Store(r.Usage.Window(r.ClusterClock.At(now)))
}

// Run performs the duties, at the times at which this host holds the lease, until the context
// ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// mayCall reports whether this host holds the lease and may make calls now, and returns it as the
// holder. It assumes that a call follows, and so sets lastCallAt.
func (r *Runner) mayCall() (Holder, bool) {
	now := clock.Now()
	fencing, held := r.Lease.Valid(now)
	if !held {
		r.fencing = 0
		return Holder{}, false
	}
	if fencing != r.fencing {
		r.beginTerm(fencing)
	}
	if now.Before(r.waitUntil) {
		return Holder{}, false
	}
	r.lastCallAt = now
	return Holder{Name: r.Name, FencingToken: fencing}, true
}

// beginTerm prepares for calls under a new fencing token. If another host may have made calls since
// this one last did, this one waits until its own last call is HandoverDelay ago.
func (r *Runner) beginTerm(fencing uint64) {
	r.fencing = fencing
	r.waitUntil = time.Time{}
	if !r.Lease.Uninterrupted() {
		r.waitUntil = r.lastCallAt.Add(r.HandoverDelay)
	}
	r.reporter.reset()
	r.orders.reset()
}

func (r *Runner) step(ctx context.Context) {
	// Hosts without the lease plan too, so that the next holder knows the recent demand.
	desired := r.Planner.Plan(clock.Now())
	if _, ok := r.mayCall(); !ok {
		return
	}
	if r.ReportUsage {
		r.report(ctx)
	}
	if r.Scale {
		r.scale(ctx, desired)
	}
}

// withTimeout limits the time of one call, so that a store that does not answer leaves time for
// the orders.
func (r *Runner) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	return call(ctx)
}

func (r *Runner) report(ctx context.Context) {
	dueWindows := r.reporter.dueWindows(r.ClusterClock.At(clock.Now()))
	if len(dueWindows) == 0 {
		return
	}
	r.reporter.uncertainBefore = r.restoredInWindow.Load()
	var abandoned []int64
	err := r.withTimeout(ctx, func(ctx context.Context) (err error) {
		abandoned, err = r.reporter.persistCounts(ctx, dueWindows)
		return err
	})
	if err != nil {
		r.Log.Warn().Err(err).Int("windows", len(dueWindows)).Msg("usage not stored")
		return
	}
	for _, window := range abandoned {
		r.reporter.reported[window] = true
		r.Log.Warn().Int64("window", window).Int64("restored_in_window", r.reporter.uncertainBefore).
			Msg("usage not reported, the store has lost what was reported")
	}
	for _, window := range r.reporter.dueWindows(r.ClusterClock.At(clock.Now())) {
		if !r.reportWindow(ctx, window) {
			return
		}
	}
}

func (r *Runner) reportWindow(ctx context.Context, window int64) bool {
	by, ok := r.mayCall()
	counts, stored := r.reporter.stored.Windows[window]
	if !ok || !stored {
		return false
	}
	err := r.withTimeout(ctx, func(ctx context.Context) error {
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
	r.reporter.reported[window] = true
	return true
}

func (r *Runner) scale(ctx context.Context, desired []DesiredOrder) {
	dueOrders := r.orders.dueOrders(clock.Now(), desired)
	if len(dueOrders) == 0 {
		return
	}
	err := r.withTimeout(ctx, func(ctx context.Context) error { return r.orders.persist(ctx, desired) })
	if err != nil {
		// The orders are sent nevertheless: they depend on the lease and not on the stored copy.
		r.Log.Warn().Err(err).Int("orders", len(dueOrders)).Msg("orders not stored")
	}
	for _, o := range dueOrders {
		if !r.order(ctx, o) {
			return
		}
	}
}

func (r *Runner) order(ctx context.Context, desired DesiredOrder) bool {
	o := desired.Order
	by, ok := r.mayCall()
	if !ok {
		return false
	}
	err := r.withTimeout(ctx, func(ctx context.Context) error { return r.Platform.Order(ctx, by, o) })
	line := r.Log.Info()
	if err != nil {
		line = r.Log.Warn().Err(err)
	}
	line.Str("fleet", o.Fleet).Str("data_centre", o.DataCentre).Bool("reclaimable", o.Reclaimable).
		Int("count", o.Count).Int("present", desired.Present).Float64("need", desired.NeededEngines).
		Float64("rate", desired.RequestRate).Uint64("fencing", by.FencingToken).Msg("endpoints ordered")
	r.Planner.ObserveResult(clock.Now(), o, err)
	switch {
	case err == nil:
		r.orders.markAccepted(clock.Now(), o)
	case errors.Is(err, ErrNoneAvailable):
		r.orders.markUnavailable(clock.Now(), o)
	default:
		return false
	}
	return true
}
