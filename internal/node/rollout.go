package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/registry"
	"rattanchute/internal/rollout"
)

const (
	// rolloutConfirmations is the number of times that a leader confirms the step of an order within the time for
	// which a confirmation counts, and followerConfirmationAge the part of it after which a follower that has heard
	// nothing reads the store itself.
	rolloutConfirmations    = 4
	followerConfirmationAge = 0.7
	// rolloutsMaxSilence is how long a host hears nothing of orders from its leader before it reads them itself.
	rolloutsMaxSilence = 4 * time.Second
	// rolloutLoadTimeout is how long a host that starts waits for the orders before it says that it is ready.
	rolloutLoadTimeout = 2 * time.Second
	// rolloutCheck is the time between two looks at the age of the confirmation while an order is in force, and
	// rolloutIdleCheck that between two looks at whether there is one.
	rolloutCheck     = 100 * time.Millisecond
	rolloutIdleCheck = 500 * time.Millisecond
)

// buildRollouts builds the table of orders if the platform has any.
func (n *Node) buildRollouts() {
	s := &n.Settings
	if !s.RollOut || n.Decode.Rollout == nil {
		return
	}
	limits := rollout.Limits{Share: s.Bounds.ExposureShare, Slack: s.Bounds.ExposureSlack}
	n.rollouts = rollout.NewTable(limits, n.clusterClock.At)
	n.registerRolloutMetrics()
}

// registerRolloutMetrics exports the steps of orders and the responses by version.
func (n *Node) registerRolloutMetrics() {
	responses := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rattanchute_rollout_responses_total",
		Help: "Responses during roll-outs that tell something about a version, by version (old, target) and outcome.",
	}, []string{"version", "outcome"})
	for _, outcome := range []string{rollout.OutcomeGood, rollout.OutcomeFailed, rollout.OutcomeSlow} {
		responses.WithLabelValues(versionOld, outcome)
		responses.WithLabelValues(versionTarget, outcome)
	}
	n.registry.MustRegister(responses)
	n.rollouts.OnResponse = func(target bool, outcome string) {
		version := versionOld
		if target {
			version = versionTarget
		}
		responses.WithLabelValues(version, outcome).Inc()
	}
	for _, step := range []rollout.Step{rollout.StepCanary, rollout.StepSwitch, rollout.StepCompleted, rollout.StepRolledBack} {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rattanchute_rollouts", Help: "Orders to move a fleet to another version that this host knows, by step.",
			ConstLabels: prometheus.Labels{"step": step.String()},
		}, func() float64 { return float64(n.rollouts.Steps()[step]) }))
	}
}

// The versions in metrics.
const (
	versionOld    = "old"
	versionTarget = "target"
)

func (n *Node) startRollouts(ctx context.Context) {
	if n.rollouts == nil {
		return
	}
	n.start(ctx, n.confirmRollouts)
	n.start(ctx, n.watchRollouts)
	n.start(ctx, n.decideRollouts)
}

// awaitRollouts waits until the orders are known, but no longer than rolloutLoadTimeout. It returns false if the
// context ends.
func (n *Node) awaitRollouts(ctx context.Context) bool {
	const interval = 20 * time.Millisecond
	if n.rollouts == nil {
		return true
	}
	for waited := time.Duration(0); n.rollouts.ConfirmedAt().IsZero() && waited < rolloutLoadTimeout; waited += interval {
		if !backoff.Pause(ctx, interval) {
			return false
		}
	}
	return true
}

// confirmRollouts reads the orders once at the start and, while one is in force, whenever the confirmation of its step
// is too old.
func (n *Node) confirmRollouts(ctx context.Context) {
	retry := newRetryBackoff()
	for {
		if n.rolloutsOutdated() {
			if _, err := n.listRollouts(ctx); err != nil {
				if !backoff.Pause(ctx, retry.Next()) {
					return
				}
				continue
			}
			retry.Reset()
		}
		wait := rolloutIdleCheck
		if _, active := n.rollouts.Active(); active {
			wait = rolloutCheck
		}
		if !backoff.Pause(ctx, wait) {
			return
		}
	}
}

// rolloutsOutdated reports whether the orders have to be read.
func (n *Node) rolloutsOutdated() bool {
	now, confirmedAt := clock.Now(), n.rollouts.ConfirmedAt()
	if confirmedAt.IsZero() {
		return true
	}
	if n.leaderIsSilentOnRollouts(now) && now.Sub(confirmedAt) > rolloutsMaxSilence {
		return true
	}
	permit, active := n.rollouts.Active()
	if !active || permit <= 0 {
		return false
	}
	if n.peers.IsLeader(now) {
		return now.Sub(confirmedAt) > permit/rolloutConfirmations
	}
	return now.Sub(confirmedAt) > time.Duration(followerConfirmationAge*float64(permit))
}

// leaderIsSilentOnRollouts reports whether this host follows one that tells it nothing of orders: its digests are lost, or
// its build knows none.
func (n *Node) leaderIsSilentOnRollouts(now time.Time) bool {
	return !n.peers.IsLeader(now) && now.Sub(time.Unix(0, n.rolloutsHeardAt.Load())) > rolloutsMaxSilence
}

// listRollouts reads all orders, and returns the version from which to watch them.
func (n *Node) listRollouts(ctx context.Context) (objectstore.Version, error) {
	requestedAt := clock.Now()
	objects, asOf, err := n.Store.List(ctx, objectstore.KindRollout)
	n.recordStoreCall("roll-outs", err)
	if err != nil {
		return 0, err
	}
	entries := make([]rollout.Entry, 0, len(objects))
	for i := range objects {
		entries = append(entries, n.decodeRollout(&objects[i]))
	}
	n.rollouts.Replace(clock.Now(), requestedAt, entries, asOf)
	n.noteRolloutChanges()
	return asOf, nil
}

func (n *Node) decodeRollout(o *objectstore.Object) rollout.Entry {
	e := n.Decode.Rollout(o.Name, o.Value, o.Status)
	e.Version = o.Version
	return e
}

// watchRollouts applies changes of orders as they are written, while this host is a leader.
func (n *Node) watchRollouts(ctx context.Context) {
	n.watchAsLeader(ctx, n.listRollouts, n.watchRolloutsFrom)
}

// watchRolloutsFrom watches until a call fails or this host is no longer a leader, and reports whether a call has
// succeeded.
func (n *Node) watchRolloutsFrom(ctx context.Context, from objectstore.Version) (responded bool) {
	for n.peers.IsLeader(clock.Now()) {
		events, asOf, err := n.Store.Watch(ctx, objectstore.KindRollout, from)
		if err != nil {
			if ctx.Err() == nil {
				n.recordStoreCall("roll-out watch", err)
			}
			return responded
		}
		responded = true
		now := clock.Now()
		for i := range events {
			if events[i].Deleted {
				n.rollouts.Delete(now, events[i].Object.Name, max(asOf, events[i].Object.Version))
				continue
			}
			n.rollouts.Put(now, n.decodeRollout(&events[i].Object))
		}
		if len(events) > 0 {
			n.noteRolloutChanges()
		}
		from = max(from, asOf)
	}
	return responded
}

// noteRolloutChanges logs the changes of orders since its last call, and passes them on.
func (n *Node) noteRolloutChanges() {
	changes := n.rollouts.TakeChanges()
	for _, c := range changes {
		n.Log.Info().Str("fleet", c.Fleet).Str("target", c.Target).Str("change", c.Kind).Str("step", c.Step.String()).
			Str("reason", c.Reason).Str("source", c.Source).Msg("roll-out changed")
	}
	if len(changes) > 0 {
		n.rollouts.SetHosts(n.possibleHosts(clock.Now()), n.startedAt)
		wake(n.reportNow)
		wake(n.rolloutsChanged)
	}
}

func (n *Node) setRolloutEndpoints(known []registry.Known) {
	if n.rollouts != nil {
		n.rollouts.SetEndpoints(clock.Now(), known)
	}
}

// rolloutsConfirmedAt returns a time at which the known orders were the newest.
func (n *Node) rolloutsConfirmedAt() time.Time {
	if n.rollouts == nil {
		return time.Time{}
	}
	return n.rollouts.StepsConfirmedAt()
}

func (n *Node) rolloutReport(now time.Time) *rollout.Report {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts.Report(now)
}

func (n *Node) rolloutDigest() *rollout.Digest {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts.Digest()
}

// applyRollouts records what a peer reports of orders. What a follower of another leader knows comes through that
// leader, but that a version was found bad concerns everyone at once.
func (n *Node) applyRollouts(now time.Time, r *heartbeat.Report, role heartbeat.Role) {
	if n.rollouts == nil {
		return
	}
	if role == heartbeat.RoleUnrelated {
		n.rollouts.Forget(r.Name)
		return
	}
	n.rollouts.Apply(now, r.Name, r.Rollouts, role == heartbeat.RoleFollower)
	if r.Leaving {
		n.rollouts.Left(r.Name)
	}
	n.noteRolloutChanges()
	if r.Rollouts != nil {
		wake(n.rolloutsChanged)
	}
}

// applyRolloutDigest applies the orders as this host's leader knows them.
func (n *Node) applyRolloutDigest(now time.Time, d *heartbeat.Digest, ack heartbeat.Ack) {
	if n.rollouts == nil || d.Rollouts == nil {
		return
	}
	// A leader that is cut off from the store does not hear of orders either.
	if sent, ok := n.sent.At(ack.Endpoints); ok && now.Sub(sent.At) <= rolloutsMaxSilence {
		n.rolloutsHeardAt.Store(now.UnixNano())
	}
	confirmed := time.Time{}
	if sent, ok := n.sent.At(ack.Rollouts); ok {
		confirmed = sent.At
	}
	n.rollouts.ApplyDigest(now, confirmed, d.Name, d.Rollouts)
	n.noteRolloutChanges()
}
