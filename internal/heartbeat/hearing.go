package heartbeat

import "time"

// Role is what the sender of a message is to this host.
type Role int

// The roles.
const (
	// RoleUnrelated: only its being alive matters.
	RoleUnrelated Role = iota
	// RoleFollower reports to this host.
	RoleFollower
	// RolePeerLeader follows nobody, as this host.
	RolePeerLeader
	// RoleLeader is followed by this host.
	RoleLeader
)

// Receipt is what a message means to this host.
type Receipt struct {
	// New is false for old and doubled messages.
	New bool
	// Joined: its sender was not heard before.
	Joined bool
	Role   Role
}

// HandleReport takes in a report.
func (t *Table) HandleReport(now time.Time, r *Report) Receipt {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.peerOfLocked(now, r.Peer)
	if k == nil || r.Number <= k.number {
		return Receipt{}
	}
	s := Receipt{New: true, Joined: t.hearLocked(now, k, r.IntervalMillis)}
	k.number = r.Number
	k.Peer = r.Peer
	k.lead = r.Leader
	if k.lead == "" {
		k.lead = r.Name
	}
	if r.Leaving && !k.leaving {
		k.leftAt = now
	}
	k.leaving = r.Leaving
	k.report = r
	k.receipts = append(k.receipts, receipt{r.Number, now})
	k.receipts = k.receipts[max(len(k.receipts)-keptReceipts, 0):]
	t.sightLocked(now, r)
	t.refreshLocked(now)
	s.Role = t.roleLocked(k)
	return s
}

// HandleDigest takes in a digest.
func (t *Table) HandleDigest(now time.Time, d *Digest) Receipt {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.peerOfLocked(now, d.Peer)
	if k == nil || d.Number <= k.digestNumber {
		return Receipt{}
	}
	s := Receipt{New: true, Joined: t.hearLocked(now, k, d.IntervalMillis)}
	k.digestNumber = d.Number
	t.refreshLocked(now)
	if t.lead != d.Name {
		return s
	}
	s.Role = RoleLeader
	t.told, t.toldAt = *d, now
	return s
}

// peerOfLocked finds the sender's run; nil if the message is of an earlier run.
func (t *Table) peerOfLocked(now time.Time, p Peer) *known {
	if p.Name == t.self.Name || p.Name == "" {
		return nil
	}
	k := t.peers[p.Name]
	if k != nil && p.Incarnation < k.Incarnation {
		return nil
	}
	if k == nil || k.Incarnation != p.Incarnation {
		k = &known{Peer: p, addedAt: now, lead: p.Name}
		t.peers[p.Name] = k
	}
	return k
}

// hearLocked notes a sign of life, and reports whether it is the first for a while.
func (t *Table) hearLocked(now time.Time, k *known, intervalMillis int64) bool {
	joined := k.heardAt.IsZero() || k.toldLost
	k.toldLost = false
	k.failed = false
	k.heardAt = now
	k.interval = max(time.Duration(intervalMillis)*time.Millisecond, minInterval)
	return joined
}

// sightLocked notes the hosts that a report speaks for.
func (t *Table) sightLocked(now time.Time, r *Report) {
	t.sightings[r.Name] = sighting{at: now, gone: r.Leaving}
	for _, name := range r.Members {
		if name != r.Name {
			t.sightings[name] = sighting{at: now}
		}
	}
	for _, name := range r.Left {
		t.sightings[name] = sighting{at: now, gone: true}
	}
	for name, s := range t.sightings {
		if now.Sub(s.at) >= knownFor {
			delete(t.sightings, name)
		}
	}
}

func (t *Table) roleLocked(k *known) Role {
	switch {
	case k.lead == t.self.Name:
		return RoleFollower
	case k.lead == k.Name && t.lead == t.self.Name:
		return RolePeerLeader
	}
	return RoleUnrelated
}

// heard reports whether a peer has sent a message of late.
func (k *known) heard(now time.Time) bool {
	return !k.leaving && !k.heardAt.IsZero() && now.Sub(k.heardAt) < heardIntervals*k.interval
}
