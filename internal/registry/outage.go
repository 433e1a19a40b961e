package registry

import (
	"time"
)

// recoveryGrace is how long after a store outage an entry that expired during the outage may
// still be missing. The platform documents about two seconds.
const recoveryGrace = 2200 * time.Millisecond

// outageThreshold is the minimum duration of a store outage in which entries may have expired:
// endpoints miss two heartbeats in that time.
const outageThreshold = 2 * time.Second

// StoreFailed records that a call to the store failed.
func (v *View) StoreFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.callFailed = true
}

// recordResponse records that the store responded to this host.
func (v *View) recordResponse(now time.Time) {
	v.recordResponseToAny(now)
	v.callFailed = false
}

// recordResponseToAny records that the store responded to this host or to a peer. A long time without a
// response counts as an outage only if a call of this host failed in it, because a host that rarely
// queries the store rarely gets a response.
func (v *View) recordResponseToAny(at time.Time) {
	if !at.After(v.respondedAt) {
		return
	}
	if v.callFailed && !v.respondedAt.IsZero() && at.Sub(v.respondedAt) >= outageThreshold {
		v.recoveredAt = at
	}
	v.respondedAt = at
}

// PeerConfirmed records that the store confirmed its list of endpoints to a peer at a given time. A host
// that loses the store while its peers do not was cut off alone: entries that it then finds missing have
// not expired in an outage.
func (v *View) PeerConfirmed(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordResponseToAny(at)
}

// mayReappear reports whether an unlisted entry may merely have expired during a store outage,
// and may be listed again soon: it is not leaving and has not been observed since the outage
// ended, which was less than recoveryGrace ago.
func (v *View) mayReappear(now time.Time, state *entryState) bool {
	if state.endpoint.Leaving || v.recoveredAt.IsZero() {
		return false
	}
	return state.seenAt.Before(v.recoveredAt) && now.Sub(v.recoveredAt) < recoveryGrace
}

// StoreResponded records that the store responded, with or without changes.
func (v *View) StoreResponded(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordResponse(now)
}

// RemoveMissing removes the entries that are still missing once recoveryGrace has passed since the
// store outage.
func (v *View) RemoveMissing(now time.Time) []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes []Change
	for id, state := range v.entries {
		if !state.missingSince.IsZero() && !v.mayReappear(now, state) {
			changes = v.removeOrMarkMissing(now, id, v.asOf, changes)
		}
	}
	return changes
}
