package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanchute/internal/backpressure"
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

// IsFirstLeader reports whether this host is the first of all reachable leaders, by name.
func (t *Table) IsFirstLeader(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if t.leader != t.self.Name {
		return false
	}
	for _, peer := range t.peers {
		if peer.reachable(now) && peer.leader == peer.Name && peer.Name < t.self.Name {
			return false
		}
	}
	return true
}

// Sharing returns the hosts that share the rate limits of endpoints. A host that was heard of lately still
// counts, because it may still send requests. A follower takes the groups and the members of its own from its
// leader's newest digest; without one, there are none.
func (t *Table) Sharing(now time.Time) backpressure.Hosts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	h := backpressure.Hosts{Self: t.self.Name, Group: t.leader}
	if t.leader != t.self.Name {
		if t.leaderDigest.Name != t.leader {
			return h
		}
		h.Groups, h.Sizes = t.leaderDigest.Leaders, t.leaderDigest.GroupSizes
		h.Members = append(slices.Collect(maps.Keys(t.leaderDigest.Acks)), t.leader)
		h.Pooling = t.leaderDigest.pooling()
		return h
	}
	h.Groups = t.leadersLocked(now)
	h.Members = []string{t.self.Name}
	for _, peer := range t.followersLocked(now) {
		h.Members = append(h.Members, peer.Name)
	}
	h.Sizes = t.groupSizesLocked(h.Groups, len(h.Members))
	h.Pooling = t.poolingLocked(append(h.Members[1:len(h.Members):len(h.Members)], h.Groups...))
	return h
}

// groupSizesLocked returns the numbers of hosts of the groups that have more than one, as their leaders report
// them; that of this host's group is given.
func (t *Table) groupSizesLocked(groups []string, own int) map[string]int {
	sizes := map[string]int{}
	for _, group := range groups {
		size := own
		if peer := t.peers[group]; peer != nil {
			size = len(peer.report.Members)
		}
		if size > 1 {
			sizes[group] = size
		}
	}
	return sizes
}

// leadersLocked returns the names of the leaders, this host included: in a full mesh, all hosts that may be
// running.
func (t *Table) leadersLocked(now time.Time) []string {
	names := []string{t.self.Name}
	if t.fullMesh {
		for name, s := range t.sightings {
			if name != t.self.Name && !s.left && now.Sub(s.at) < knownTimeout {
				names = append(names, name)
			}
		}
		return names
	}
	for _, peer := range t.peers {
		if peer.leader == peer.Name && !peer.leaving && !peer.lastReceivedAt.IsZero() && now.Sub(peer.lastReceivedAt) < knownTimeout {
			names = append(names, peer.Name)
		}
	}
	return names
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

// Confirmations are the times at which parts of the store's contents were last confirmed to be the newest.
type Confirmations struct{ Configuration, Endpoints, Rollouts time.Time }

// Acks returns the acknowledgements of each follower's reports.
func (t *Table) Acks(now time.Time, confirmed Confirmations) map[string]Ack {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Ack{}
	for _, peer := range t.followersLocked(now) {
		out[peer.Name] = Ack{
			Included:      peer.reportNumber,
			PoolsSlots:    peer.report.PoolsSlots,
			Configuration: peer.reportNumberAt(confirmed.Configuration),
			Endpoints:     peer.reportNumberAt(confirmed.Endpoints),
			Rollouts:      peer.reportNumberAt(confirmed.Rollouts),
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
