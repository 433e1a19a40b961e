package node

import (
	"context"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/keeper"
)

// quarantineLoadTimeout is how long a host that starts waits for the stored quarantines before it says that
// it is ready.
const quarantineLoadTimeout = time.Second

func (n *Node) newQuarantineKeeper() *keeper.Keeper {
	return keeper.New(keeper.Config{
		Table:     n.quarantine,
		Store:     n.Store,
		Now:       clock.Now,
		WallClock: n.clusterClock.At,
		Writes:    func() bool { return n.peers.IsLeader(clock.Now()) },
		OnCall:    func(err error) { n.recordStoreCall("quarantine", err) },
		Log:       n.Log,
	})
}

// mayProbe reports whether this host may probe quarantined requests: it holds the duties' lease or, where
// there are no duties, comes before all others.
func (n *Node) mayProbe() bool {
	now := clock.Now()
	if n.lease == nil {
		return n.peers.IsFirstLeader(now)
	}
	_, held := n.lease.Valid(now)
	return held
}

// applyQuarantine records what a peer knows of requests that crash endpoints, and passes on what is new.
func (n *Node) applyQuarantine(now time.Time, from string, r *quarantine.Report) {
	if n.quarantine.Apply(now, from, r) {
		n.announceChange()
	}
}

// awaitQuarantine waits until the stored quarantines are read, but no longer than quarantineLoadTimeout. It
// returns false if the context ends.
func (n *Node) awaitQuarantine(ctx context.Context) bool {
	return await(ctx, quarantineLoadTimeout, n.quarantineKeeper.Loaded)
}

// await waits for a condition, but no longer than the timeout. It returns false if the context ends.
func await(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	const interval = 20 * time.Millisecond
	for waited := time.Duration(0); !condition() && waited < timeout; waited += interval {
		if !backoff.Pause(ctx, interval) {
			return false
		}
	}
	return true
}
