package heartbeat

import (
	"cmp"
	"slices"
	"time"
)

// Leader returns the name of the host that this host follows, or its own name if it follows
// none.
func (t *Table) Leader(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	return t.leader
}

// IsLeader reports whether this host follows no other, as is the case for every host of a full
// mesh. A leader reads and watches the store on behalf of its followers.
func (t *Table) IsLeader(now time.Time) bool {
	return t.Leader(now) == t.self.Name
}

// updateLeaderLocked decides which host to follow.
func (t *Table) updateLeaderLocked(now time.Time) {
	t.fullMesh = t.knownHostsLocked(now) <= maxFullMeshHosts
	t.leader, t.leaderWithoutLease = t.self.Name, nil
	if t.fullMesh {
		t.awaited = awaitedLeader{}
		return
	}
	peer := t.awaitLeaderLocked(now, t.candidatesLocked(now, t.self.DataCentre))
	switch {
	case peer == nil:
	case t.holdsLease:
		t.leaderWithoutLease = peer
	default:
		t.leader = peer.Name
	}
}

// candidatesLocked returns the hosts of a data centre in their leadership order, without those
// that are leaving or forgotten. For this host's own data centre, only the hosts before this one
// are returned.
func (t *Table) candidatesLocked(now time.Time, dataCentre string) []*peerState {
	var out []*peerState
	for _, peer := range t.peers {
		if peer.DataCentre != dataCentre || peer.leaving || t.isForgotten(now, peer) {
			continue
		}
		if dataCentre == t.self.DataCentre && !peer.before(&t.self) {
			continue
		}
		out = append(out, peer)
	}
	slices.SortFunc(out, func(a, b *peerState) int {
		if a.before(&b.Peer) {
			return -1
		}
		return 1
	})
	return out
}

// isForgotten reports whether for peerTimeout no message of a peer was received and the store did
// not list it.
func (t *Table) isForgotten(now time.Time, peer *peerState) bool {
	last := peer.addedAt
	for _, at := range []time.Time{peer.lastReceivedAt, peer.listedAt} {
		if at.After(last) {
			last = at
		}
	}
	return now.Sub(last) >= peerTimeout
}

// awaitLeaderLocked returns the first candidate that is reachable or that has not yet had the time to
// respond; nil if there is none. Candidates that did not respond in time are marked as
// unresponsive and skipped until they are reachable again.
func (t *Table) awaitLeaderLocked(now time.Time, candidates []*peerState) *peerState {
	for _, peer := range candidates {
		if peer.unresponsive {
			continue
		}
		if t.awaited.name != peer.Name {
			t.awaited = awaitedLeader{name: peer.Name, since: now}
		}
		if peer.reachable(now) || now.Sub(t.awaited.since) < reachableIntervals*minReportInterval {
			return peer
		}
		peer.unresponsive = true
	}
	t.awaited = awaitedLeader{}
	return nil
}

func (t *Table) followersLocked(now time.Time) []*peerState {
	var out []*peerState
	for _, peer := range t.peers {
		if peer.leader == t.self.Name && peer.reachable(now) {
			out = append(out, peer)
		}
	}
	slices.SortFunc(out, func(a, b *peerState) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

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

// Members returns the names of this host's group, and of the hosts that recently left it
// gracefully.
func (t *Table) Members(now time.Time) (members, left []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	members = []string{t.self.Name}
	for _, peer := range t.followersLocked(now) {
		members = append(members, peer.Name)
	}
	for _, peer := range t.peers {
		if peer.leaving && peer.leader == t.self.Name && now.Sub(peer.leftAt) < leftRetention {
			left = append(left, peer.Name)
		}
	}
	slices.Sort(left)
	return members, left
}

// Acks returns the acknowledgements of each follower's reports. configuration and endpoints are
// the times at which the configuration and the endpoints were last confirmed to be the newest.
func (t *Table) Acks(now, configuration, endpoints time.Time) map[string]Ack {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Ack{}
	for _, peer := range t.followersLocked(now) {
		out[peer.Name] = Ack{
			Included:      peer.reportNumber,
			Configuration: peer.reportNumberAt(configuration),
			Endpoints:     peer.reportNumberAt(endpoints),
		}
	}
	return out
}

// reportNumberAt returns the number of the newest report that had arrived by a given time; zero
// if none had or it is no longer among the keptArrivals reports.
func (p *peerState) reportNumberAt(at time.Time) uint64 {
	for _, r := range slices.Backward(p.arrivals) {
		if !r.at.After(at) {
			return r.number
		}
	}
	return 0
}

// GroupHoldsLease reports whether this host or one of its followers holds the duties' lease.
func (t *Table) GroupHoldsLease(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	holds := t.holdsLease
	for _, peer := range t.followersLocked(now) {
		holds = holds || peer.report.HoldsLease
	}
	return holds
}

// IsFullMesh reports whether so few hosts are known that each reports to all others.
func (t *Table) IsFullMesh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	return t.fullMesh
}

// propagationMessages is the number of messages in sequence after which the followers of other
// leaders know what a follower spent: its report, its leader's report and the other leader's
// digest.
const propagationMessages = 3

// PropagationDelay returns about how long it takes until all hosts know what one host has spent
// if no message is lost; zero in a full mesh. It assumes that all messages are sent at the interval
// that the newest digest of this host's present or former leader states, or at minReportInterval if
// that is longer or there is no digest.
func (t *Table) PropagationDelay(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if t.fullMesh {
		return 0
	}
	return propagationMessages * max(minReportInterval, t.leaderDigest.interval())
}

func (d *Digest) interval() time.Duration { return time.Duration(d.IntervalMillis) * time.Millisecond }
