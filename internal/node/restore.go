package node

import (
	"time"

	"rattanchute/internal/clock"
)

// membersSettleTime is the longest wait before a host reads the list of hosts after a restore of the
// store. The wait is random, which spreads the hosts' calls.
const membersSettleTime = 3 * time.Second

// storeRestored records that the store was restored from an older copy, which may lack what was written
// shortly before. It does not call the store.
func (n *Node) storeRestored(from, to uint64) {
	now := clock.Now()
	n.restores.Inc()
	n.applyMu.Lock()
	n.configuration.restored(now)
	state := n.configuration
	n.applyMu.Unlock()
	n.endpoints.StoreRestored(now)
	holdsLease := false
	if n.lease != nil {
		_, holdsLease = n.lease.Valid(now)
		n.lease.OnRestore(to, now)
		n.duties.OnRestore()
	}
	n.Log.Warn().Uint64("from_era", from).Uint64("era", to).
		Uint64("generation", uint64(state.active)).Uint64("version", state.version.Revision()).
		Int("endpoints", len(n.endpoints.Known())).Bool("holds_lease", holdsLease).
		Int64("settles_ms", restoreSettleTime.Milliseconds()).Msg("store restored from an older copy")
	wake(n.configurationStale)
	wake(n.endpointsStale)
	wake(n.membersStale)
	n.quarantineKeeper.Wake()
}
