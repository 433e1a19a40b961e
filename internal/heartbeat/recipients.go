package heartbeat

import (
	"slices"
	"time"
)

// Recipients are the addresses to send reports and digests to.
type Recipients struct {
	Reports []string
	Digests []string
}

// Recipients returns the recipients of the next messages. Unless the hosts form a full mesh, they
// include some of the hosts that do not respond, in rotation, so that a host that responds again
// is noticed.
func (t *Table) Recipients(now time.Time) Recipients {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Recipients
	for _, peer := range t.followersLocked(now) {
		r.Digests = append(r.Digests, peer.Address)
	}
	t.updateLeaderLocked(now)
	to := map[string]bool{}
	switch leader := t.peers[t.leader]; {
	case leader != nil:
		to[leader.Address] = true
		t.addUnresponsiveLocked(now, leader, to)
	case t.fullMesh:
		t.addAllLocked(now, to)
	default:
		t.addPeerLeadersLocked(now, to)
		t.addUnresponsiveLocked(now, nil, to)
	}
	if now.Sub(t.startedAt) < announceDuration {
		t.addDataCentreLocked(to)
	}
	for address := range to {
		r.Reports = append(r.Reports, address)
	}
	slices.Sort(r.Reports)
	return r
}

// addDataCentreLocked adds all hosts of this host's data centre that are not leaving, because
// they may not know this host yet.
func (t *Table) addDataCentreLocked(to map[string]bool) {
	for _, peer := range t.peers {
		if !peer.leaving && peer.DataCentre == t.self.DataCentre {
			to[peer.Address] = true
		}
	}
}

func (t *Table) addAllLocked(now time.Time, to map[string]bool) {
	for _, peer := range t.peers {
		if !peer.leaving && !t.isForgotten(now, peer) {
			to[peer.Address] = true
		}
	}
}

// addPeerLeadersLocked adds:
//   - the other leaders that are reachable,
//   - the likely leaders of the other data centres in which no leader is reachable,
//   - the host that this one would follow if it did not hold the lease, and
//   - the hosts of this data centre that are reachable, come after this host in the leadership order
//     and follow another one. They send to this host to find out whether it responds.
func (t *Table) addPeerLeadersLocked(now time.Time, to map[string]bool) {
	hasLeader := map[string]bool{t.self.DataCentre: true}
	if t.leaderWithoutLease != nil {
		to[t.leaderWithoutLease.Address] = true
	}
	for _, peer := range t.peers {
		if !peer.reachable(now) || peer.leader == t.self.Name {
			continue
		}
		probing := peer.DataCentre == t.self.DataCentre && t.self.before(&peer.Peer)
		if peer.leader != peer.Name && !probing {
			continue
		}
		to[peer.Address] = true
		hasLeader[peer.DataCentre] = true
	}
	for _, dataCentre := range t.dataCentresLocked() {
		if hasLeader[dataCentre] {
			continue
		}
		t.addLikelyLeadersLocked(t.candidatesLocked(now, dataCentre), to)
	}
}

// likelyLeaders is how many of the first hosts of a data centre are contacted in search of its
// leader. The leader is normally the first host in the leadership order that is alive.
const likelyLeaders = 2

// addLikelyLeadersLocked adds the hosts that are most likely to lead a data centre: the first
// likelyLeaders candidates and, in rotation, one of all candidates.
func (t *Table) addLikelyLeadersLocked(candidates []*peerState, to map[string]bool) {
	for _, peer := range candidates[:min(likelyLeaders, len(candidates))] {
		to[peer.Address] = true
	}
	if len(candidates) > 0 {
		t.probes++
		to[candidates[t.probes%len(candidates)].Address] = true
	}
}

func (t *Table) dataCentresLocked() []string {
	seen := map[string]bool{}
	var out []string
	for _, peer := range t.peers {
		if !seen[peer.DataCentre] {
			seen[peer.DataCentre] = true
			out = append(out, peer.DataCentre)
		}
	}
	return out
}

// addUnresponsiveLocked adds, in rotation, one of the unresponsive hosts that precede leader in
// the leadership order of this data centre. If leader is nil, it adds one of those that precede
// this host.
func (t *Table) addUnresponsiveLocked(now time.Time, leader *peerState, to map[string]bool) {
	var silent []*peerState
	for _, peer := range t.candidatesLocked(now, t.self.DataCentre) {
		if peer.unresponsive && (leader == nil || peer.before(&leader.Peer)) {
			silent = append(silent, peer)
		}
	}
	if len(silent) == 0 {
		return
	}
	t.probes++
	to[silent[t.probes%len(silent)].Address] = true
}
