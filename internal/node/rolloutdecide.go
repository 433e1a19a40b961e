package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/rollout"
)

const (
	// rolloutDecideInterval is the longest time between two looks at an order in force, rolloutMinInterval the shortest,
	// and rolloutIdleInterval the longest while there is none.
	rolloutDecideInterval = 100 * time.Millisecond
	rolloutMinInterval    = 20 * time.Millisecond
	rolloutIdleInterval   = time.Second
	// rolloutFreshness is how old the report of a host that is in touch may be, and rolloutFreshnessInGroups the same
	// where leaders report for their groups.
	rolloutFreshness         = 1500 * time.Millisecond
	rolloutFreshnessInGroups = 3 * time.Second
	// rolloutWriteTimeout bounds the write of a step.
	rolloutWriteTimeout = time.Second
	// rolloutHostAge is how long after the last evidence of a host it may still send requests: it may be cut off from
	// its peers and not from callers and endpoints.
	rolloutHostAge = time.Minute
	// rolloutOverdue is how long a step may be due until other leaders than the one that decides take it, after a
	// random part of rolloutOverdueSpread in addition.
	rolloutOverdue       = 1500 * time.Millisecond
	rolloutOverdueSpread = 1500 * time.Millisecond
)

// decideRollouts takes the steps of the orders in force while this host is the one that decides.
func (n *Node) decideRollouts(ctx context.Context) {
	var late overdueSteps
	interval := rolloutIdleInterval
	for waitForWake(ctx, interval, rolloutMinInterval, n.rolloutsChanged) {
		now := clock.Now()
		interval = rolloutIdleInterval
		if _, active := n.rollouts.Active(); !active {
			n.noteRolloutChanges()
			continue
		}
		interval = rolloutDecideInterval
		n.rollouts.SetHosts(n.possibleHosts(now), n.startedAt)
		n.noteRolloutChanges()
		// A host that does not know the others would take itself for all hosts.
		if n.membersRead.Load() && n.peers.IsLeader(now) {
			n.stepRollouts(ctx, now, &late)
		}
	}
}

// overdueSteps remembers since when steps have been due that another host should have taken.
type overdueSteps struct {
	dueAt map[string]time.Time
	steps map[string]rollout.Step
}

// overdue reports whether a step has been due for so long that this host takes it. Writes are conditional on the version
// of the order, so that it does no harm if the other host takes it too.
func (o *overdueSteps) overdue(now time.Time, fleet string, next rollout.Step, due bool) bool {
	if o.dueAt == nil {
		o.dueAt, o.steps = map[string]time.Time{}, map[string]rollout.Step{}
	}
	if !due {
		delete(o.dueAt, fleet)
		return false
	}
	at, known := o.dueAt[fleet]
	if !known || o.steps[fleet] != next {
		o.dueAt[fleet], o.steps[fleet] = now.Add(rolloutOverdue+rand.N(rolloutOverdueSpread)), next
		return false
	}
	return now.After(at)
}

// decidesRollouts reports whether this host decides about orders: it holds the duties' lease, or it is the first leader
// and hears no holder. Writes are conditional on what was read, so that a second host that believes this of itself does
// no harm.
func (n *Node) decidesRollouts(now time.Time) (fencing uint64, decides bool) {
	if n.lease != nil {
		if fencing, held := n.lease.Valid(now); held {
			return fencing, true
		}
		if n.peers.LeaseHolderReachable(now) {
			return 0, false
		}
	}
	return 0, n.peers.IsFirstLeader(now)
}

func (n *Node) stepRollouts(ctx context.Context, now time.Time, late *overdueSteps) {
	reachable, _ := n.peers.HostCounts(now)
	possible := n.possibleHosts(now)
	inGroups := !n.peers.IsFullMesh(now)
	freshness := rolloutFreshness
	if inGroups {
		freshness = rolloutFreshnessInGroups
	}
	for _, o := range n.rollouts.Overviews(now, possible, freshness) {
		f := &o.Facts
		f.InGroups, f.Silent = inGroups, reachable < possible
		f.FleetKnown, f.LongestTimeout = n.routesTo(o.Entry.Order.Fleet)
		record, changed := rollout.Decide(&o.Entry, f)
		_, decides := n.decidesRollouts(now)
		overdue := late.overdue(now, o.Entry.Name, record.Step, changed)
		if changed && (decides || overdue) {
			n.writeRollout(ctx, &o, &record, overdue)
		}
	}
}

// possibleHosts returns the number of hosts that may send requests.
func (n *Node) possibleHosts(now time.Time) int {
	_, known := n.peers.HostCounts(now)
	return max(known, n.peers.PossibleHosts(now, rolloutHostAge))
}

// routesTo reports whether a fleet is in the configuration, and the longest timeout of its routes.
func (n *Node) routesTo(name string) (known bool, longest time.Duration) {
	table := n.proxy.Table()
	if table == nil {
		return true, 0
	}
	c := table.Configuration()
	for i := range c.Fleets {
		known = known || c.Fleets[i].Name == name
	}
	for i := range c.Routes {
		for _, w := range c.Routes[i].Split {
			if w.Fleet == name {
				known, longest = true, max(longest, c.Routes[i].Timeout)
			}
		}
	}
	return known, longest
}

// writeRollout stores the next step of an order, if the order is still as it was when the step was decided. After any
// error the order is read again before the next decision.
func (n *Node) writeRollout(ctx context.Context, o *rollout.Overview, r *rollout.Record, overdue bool) {
	fencing, _ := n.decidesRollouts(clock.Now())
	r.Holder, r.Fencing = n.Settings.Name, fencing
	status, err := n.Decode.RolloutStatus(r)
	if err != nil {
		n.Log.Error().Str("fleet", o.Entry.Name).Err(err).Msg("cannot encode the status of a roll-out")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	if _, decides := n.decidesRollouts(clock.Now()); !decides && !overdue {
		return
	}
	if r.Step == rollout.StepSwitch {
		n.rollouts.BeginSwitch(&o.Entry)
	}
	stored, err := n.Store.UpdateStatus(ctx, objectstore.Object{
		Kind: objectstore.KindRollout, Name: o.Entry.Name, Version: o.Entry.Version, Status: status,
	})
	n.logRolloutStep(o, r, fencing, overdue, err)
	if err == nil {
		e := o.Entry
		e.Version, e.Record = stored.Version, *r
		n.rollouts.Put(clock.Now(), e)
		n.noteRolloutChanges()
		return
	}
	_ = backoff.Pause(ctx, jittered(retryDelay))
	if !errors.Is(err, objectstore.ErrThrottled) {
		_, _ = n.listRollouts(ctx) // logged there; the next decision is conditional on the version that is known
	}
}

// logRolloutStep logs a step with the evidence for it.
func (n *Node) logRolloutStep(o *rollout.Overview, r *rollout.Record, fencing uint64, overdue bool, err error) {
	f := &o.Facts
	line := n.Log.Info()
	if err != nil {
		line = n.Log.Warn().Err(err)
	}
	if r.StartMillis > 0 {
		line = line.Int64("left_ms", r.StartMillis+r.DurationMillis-f.NowMillis)
	}
	line.Str("fleet", o.Entry.Name).Str("target", r.Target).Str("from", o.Entry.Step().String()).Str("step", r.Step.String()).
		Str("reason", r.Reason).Uint64("fencing", fencing).Bool("overdue", overdue).Uint64("version", o.Entry.Version.Revision()).
		Float64("requests", f.Requests).Float64("responses", f.Verdict.Total.Since.All).
		Float64("bad", f.Verdict.Total.Since.Bad).Float64("expected_bad", f.Verdict.Total.Since.Expected).
		Int("target_slots", f.TargetSlots).Int("old_slots", f.OldSlots).Int("old_running", f.OldRunning).
		Bool("all_idle", f.AllIdle).Bool("silent_hosts", f.Silent).Int64("longest_ms", f.Longest.Milliseconds()).
		Msg("roll-out step")
}
