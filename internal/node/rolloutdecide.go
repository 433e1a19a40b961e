package node

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/rollout"
)

const (
	// rolloutDecideInterval is the longest time between two looks at an order in force, and
	// rolloutMinInterval the shortest.
	rolloutDecideInterval = 100 * time.Millisecond
	rolloutMinInterval    = 20 * time.Millisecond
	// rolloutFreshness is how old the report of a host that is in touch may be, and rolloutFreshnessInGroups the same
	// where leaders report for their groups.
	rolloutFreshness         = 1500 * time.Millisecond
	rolloutFreshnessInGroups = 3 * time.Second
	// rolloutWriteTimeout bounds the write of a step.
	rolloutWriteTimeout = time.Second
)

// decideRollouts takes the steps of the orders in force while this host is the one that decides.
func (n *Node) decideRollouts(ctx context.Context) {
	for waitForWake(ctx, rolloutDecideInterval, rolloutMinInterval, n.rolloutsChanged) {
		now := clock.Now()
		if _, active := n.rollouts.Active(); !active {
			n.noteRolloutChanges()
			continue
		}
		_, known := n.peers.HostCounts(now)
		n.rollouts.SetHosts(known, n.startedAt)
		n.noteRolloutChanges()
		if _, decides := n.decidesRollouts(now); decides {
			n.stepRollouts(ctx, now)
		}
	}
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

func (n *Node) stepRollouts(ctx context.Context, now time.Time) {
	reachable, known := n.peers.HostCounts(now)
	inGroups := !n.peers.IsFullMesh(now)
	freshness := rolloutFreshness
	if inGroups {
		freshness = rolloutFreshnessInGroups
	}
	for _, o := range n.rollouts.Overviews(now, known, freshness) {
		f := &o.Facts
		f.InGroups, f.Silent = inGroups, reachable < known
		f.FleetKnown, f.LongestTimeout = n.routesTo(o.Entry.Order.Fleet)
		record, changed := rollout.Decide(&o.Entry, f)
		if changed {
			n.writeRollout(ctx, &o, &record)
		}
	}
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
func (n *Node) writeRollout(ctx context.Context, o *rollout.Overview, r *rollout.Record) {
	r.Holder = n.Settings.Name
	status, err := n.Decode.RolloutStatus(r)
	if err != nil {
		n.Log.Error().Str("fleet", o.Entry.Name).Err(err).Msg("cannot encode the status of a roll-out")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	fencing, decides := n.decidesRollouts(clock.Now())
	if !decides {
		return
	}
	stored, err := n.Store.UpdateStatus(ctx, objectstore.Object{
		Kind: objectstore.KindRollout, Name: o.Entry.Name, Version: o.Entry.Version, Status: status,
	})
	n.logRolloutStep(o, r, fencing, err)
	if err == nil {
		e := o.Entry
		e.Version, e.Record = stored.Version, *r
		n.rollouts.Put(clock.Now(), e)
		n.noteRolloutChanges()
		return
	}
	if !errors.Is(err, objectstore.ErrThrottled) {
		_, _ = n.listRollouts(ctx) // logged there; the next decision is conditional on the version that is known
	}
}

// logRolloutStep logs a step with the evidence for it.
func (n *Node) logRolloutStep(o *rollout.Overview, r *rollout.Record, fencing uint64, err error) {
	f := &o.Facts
	line := n.Log.Info()
	if err != nil {
		line = n.Log.Warn().Err(err)
	}
	line.Str("fleet", o.Entry.Name).Str("target", r.Target).Str("from", o.Entry.Step().String()).Str("step", r.Step.String()).
		Str("reason", r.Reason).Uint64("fencing", fencing).Uint64("version", o.Entry.Version.Revision()).
		Int64("left_ms", o.Entry.DeadlineMillis()-f.NowMillis).
		Float64("requests", f.Requests).Float64("responses", f.Verdict.Total.Since.All).
		Float64("bad", f.Verdict.Total.Since.Bad).Float64("expected_bad", f.Verdict.Total.Since.Expected).
		Int("target_slots", f.TargetSlots).Int("old_slots", f.OldSlots).Int("old_running", f.OldRunning).
		Bool("all_idle", f.AllIdle).Bool("silent_hosts", f.Silent).Int64("longest_ms", f.Longest.Milliseconds()).
		Msg("roll-out step")
}
