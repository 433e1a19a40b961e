package heartbeat

import "time"

// Role is the role of a message's sender relative to this host.
type Role int

// The roles of a sender.
const (
	// RoleUnrelated is any other host, such as a follower of another leader. Its messages only show
	// that it is alive, which hosts its reports list, and whether its group holds the duties' lease.
	RoleUnrelated Role = iota
	// RoleFollower is a host that reports to this host.
	RoleFollower
	// RolePeerLeader is another leader, if this host is a leader too. In a full mesh, all other
	// hosts have this role.
	RolePeerLeader
	// RoleLeader is the host that this host follows. Only its digests have this role: its
	// reports are intended for others and count as RoleUnrelated.
	RoleLeader
)

// Receipt is the result of processing a message.
type Receipt struct {
	// New is false for outdated and duplicate messages, for those of this host itself, and for
	// those without a sender's name.
	New bool
	// Joined is true for the first message of this run of the sender, and for the first since
	// NewlyLost has noticed its loss.
	Joined bool
	// Role is the sender's role; RoleUnrelated if New is false.
	Role Role
}

// HandleReport processes a report and returns whether it is new and, if so, the role of its sender.
// It retains r.
func (t *Table) HandleReport(now time.Time, r *Report) Receipt {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.peerStateLocked(now, r.Peer)
	if peer == nil || r.Number <= peer.reportNumber {
		return Receipt{}
	}
	receipt := Receipt{New: true, Joined: t.recordContactLocked(now, peer, r.IntervalMillis)}
	peer.reportNumber = r.Number
	peer.Peer = r.Peer
	peer.leader = r.Leader
	if peer.leader == "" {
		peer.leader = r.Name
	}
	if r.Leaving && !peer.leaving {
		peer.leftAt = now
	}
	peer.leaving = r.Leaving
	peer.report = r
	peer.arrivals = append(peer.arrivals, arrival{r.Number, now})
	peer.arrivals = peer.arrivals[max(len(peer.arrivals)-keptArrivals, 0):]
	t.recordSightingsLocked(now, r)
	t.updateLeaderLocked(now)
	receipt.Role = t.roleLocked(peer)
	return receipt
}

// HandleDigest processes a digest. Unless it is from this host's leader, it only shows that its
// sender is alive.
func (t *Table) HandleDigest(now time.Time, d *Digest) Receipt {
	t.mu.Lock()
	defer t.mu.Unlock()
	peer := t.peerStateLocked(now, d.Peer)
	if peer == nil || d.Number <= peer.digestNumber {
		return Receipt{}
	}
	receipt := Receipt{New: true, Joined: t.recordContactLocked(now, peer, d.IntervalMillis)}
	peer.digestNumber = d.Number
	t.updateLeaderLocked(now)
	if t.leader != d.Name {
		return receipt
	}
	receipt.Role = RoleLeader
	t.leaderDigest, t.leaderDigestAt = *d, now
	return receipt
}

// peerStateLocked returns the state of the sender's run, which it creates if the run is new. It
// returns nil if the message is from an earlier run, from this host itself, or names no sender.
func (t *Table) peerStateLocked(now time.Time, p Peer) *peerState {
	if p.Name == t.self.Name || p.Name == "" {
		return nil
	}
	peer := t.peers[p.Name]
	if peer != nil && p.Incarnation < peer.Incarnation {
		return nil
	}
	if peer == nil || peer.Incarnation != p.Incarnation {
		peer = newPeerState(now, p)
		peer.leader = p.Name
		t.peers[p.Name] = peer
	}
	return peer
}

// recordContactLocked records that a message of a peer was received, and reports whether this is
// the first time or the first since NewlyLost noticed its loss.
func (t *Table) recordContactLocked(now time.Time, peer *peerState, intervalMillis int64) bool {
	joined := peer.lastReceivedAt.IsZero() || peer.lossReported
	peer.lossReported = false
	peer.unresponsive = false
	peer.lastReceivedAt = now
	peer.interval = max(time.Duration(intervalMillis)*time.Millisecond, minReportInterval)
	return joined
}

// recordSightingsLocked records the hosts that a report lists as running or as having left, and
// removes the sightings that are older than sightingRetention.
func (t *Table) recordSightingsLocked(now time.Time, r *Report) {
	t.sightings[r.Name] = sighting{at: now, left: r.Leaving}
	for _, name := range r.Members {
		if name != r.Name {
			t.sightings[name] = sighting{at: now}
		}
	}
	for _, name := range r.Left {
		t.sightings[name] = sighting{at: now, left: true}
	}
	for name, s := range t.sightings {
		if now.Sub(s.at) >= sightingRetention {
			delete(t.sightings, name)
		}
	}
}

func (t *Table) roleLocked(peer *peerState) Role {
	switch {
	case peer.leader == t.self.Name:
		return RoleFollower
	case peer.leader == peer.Name && t.leader == t.self.Name:
		return RolePeerLeader
	}
	return RoleUnrelated
}

// reachable reports whether a message from the peer arrived within the last reachableIntervals
// intervals and the peer is not leaving.
func (p *peerState) reachable(now time.Time) bool {
	return !p.leaving && !p.lastReceivedAt.IsZero() && now.Sub(p.lastReceivedAt) < reachableIntervals*p.interval
}
