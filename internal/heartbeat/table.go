package heartbeat

import (
	"sync"
	"time"
)

const (
	// minReportInterval is the minimum time between two reports of a host.
	minReportInterval = 250 * time.Millisecond
	// intervalPerPeer limits the datagrams that a host sends in a full mesh, and those that it
	// receives, to about eighty per second each, however many peers there are.
	intervalPerPeer = 12 * time.Millisecond
	// intervalPerFollower limits the digests of a leader to a few megabits per second.
	intervalPerFollower = 16 * time.Millisecond
	// reachableIntervals is the number of intervals after its last message for which a peer still
	// counts as reachable. It tolerates the loss of three messages.
	reachableIntervals = 5
	// maxFullMeshHosts is the maximum number of hosts that form a full mesh.
	maxFullMeshHosts = 12
	// knownTimeout is how long a host counts as possibly running after the last evidence of it.
	// Until then it may still be spending its share of the quotas.
	knownTimeout = 10 * time.Second
	// sightingRetention is for how long the last evidence of a host is remembered.
	sightingRetention = 2 * time.Minute
	// peerTimeout is how long reports are still sent to a peer that is neither reachable nor listed
	// in the store.
	peerTimeout = time.Minute
	// announceDuration is how long after its start a host reports to all hosts of its data
	// centre, which may not know it yet.
	announceDuration = 1500 * time.Millisecond
	// leftRetention is how long reports list a host that left gracefully.
	leftRetention = 3 * time.Second
	// keptArrivals is how many reports of a follower can still be acknowledged: several
	// seconds' worth.
	keptArrivals = 32
)

// Table holds what this host knows about its peers. It is safe for concurrent use.
type Table struct {
	self      Peer
	startedAt time.Time
	mu        sync.Mutex
	peers     map[string]*peerState
	// sightings are the hosts known directly or through other hosts, by name.
	sightings map[string]sighting
	// leader is the host that this host follows, or its own name if it follows none. fullMesh
	// is set if so few hosts are known that each reports to all others. Both are as of the last
	// call of updateLeaderLocked.
	leader   string
	fullMesh bool
	// leaderWithoutLease is the host that this one would follow if it did not hold the duties'
	// lease; nil if it does not hold the lease or there is no such host.
	leaderWithoutLease *peerState
	// awaited is the host that is expected to respond as leader.
	awaited awaitedLeader
	// probes counts the probes of hosts that may not respond. The probed hosts are chosen in
	// rotation by this count.
	probes int
	// lostFleets are the fleets of which this host reaches no endpoint.
	lostFleets []string
	// holdsLease is set while this host holds the duties' lease. It then follows no other host.
	holdsLease bool
	// leaderDigest is the newest digest from the host that was the leader then, and leaderDigestAt is
	// when it arrived.
	leaderDigest   Digest
	leaderDigestAt time.Time
}

// awaitedLeader is a host that is expected to respond.
type awaitedLeader struct {
	name  string
	since time.Time
}

// sighting is the latest evidence that a host is alive, from itself or from other hosts.
type sighting struct {
	at time.Time
	// left is set if the host left gracefully.
	left bool
}

// peerState is the state of one run of a peer.
type peerState struct {
	Peer
	// reportNumber and digestNumber are the numbers of the peer's newest report and digest.
	reportNumber   uint64
	digestNumber   uint64
	lastReceivedAt time.Time
	// addedAt is when the peer became known, whether reachable or not; listedAt is when it was last
	// listed in the store.
	addedAt  time.Time
	listedAt time.Time
	interval time.Duration
	leaving  bool
	leftAt   time.Time
	// lossReported is set once NewlyLost has noticed the loss of the peer, whether it returned
	// the peer or not, and cleared when the peer is reachable again.
	lossReported bool
	// unresponsive is set if the peer was awaited as leader and did not respond, until it is
	// reachable again.
	unresponsive bool
	// leader is the host that the peer follows, or its own name if it follows none. It is empty if the
	// peer was listed in the store and has not sent a report yet.
	leader string
	// report is the peer's newest report. It is empty before the first one: a peer can be known from the
	// store or from its digests alone.
	report *Report
	// arrivals are the peer's newest reports, at most keptArrivals, the oldest first.
	arrivals []arrival
}

func newPeerState(now time.Time, p Peer) *peerState {
	return &peerState{Peer: p, addedAt: now, report: &Report{}}
}

// arrival records when a report arrived.
type arrival struct {
	number uint64
	at     time.Time
}

// NewTable returns a table that contains only its own host, which starts now.
func NewTable(now time.Time, self Peer) *Table {
	return &Table{
		startedAt: now,
		self:      self,
		peers:     map[string]*peerState{},
		sightings: map[string]sighting{},
		leader:    self.Name,
		fullMesh:  true,
	}
}

// Add records that a peer is listed in the store. It ignores this host itself and earlier runs
// of a peer.
func (t *Table) Add(now time.Time, p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Name == t.self.Name {
		return
	}
	old := t.peers[p.Name]
	if old != nil && old.Incarnation > p.Incarnation {
		return
	}
	if old == nil || old.Incarnation < p.Incarnation {
		t.peers[p.Name] = newPeerState(now, p)
		t.sightings[p.Name] = sighting{at: now}
	}
	t.peers[p.Name].listedAt = now
}

// SetHoldsLease sets whether this host holds the duties' lease.
func (t *Table) SetHoldsLease(holdsLease bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdsLease = holdsLease
}

// Interval returns the time between two reports of this host.
func (t *Table) Interval(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if t.fullMesh {
		return max(minReportInterval, time.Duration(len(t.peers))*intervalPerPeer)
	}
	return max(minReportInterval, time.Duration(len(t.followersLocked(now)))*intervalPerFollower)
}

// HostCounts returns how many hosts are reachable, directly or through others, and how many may be
// running. Both counts include this host. A follower returns the counts of its leader's newest
// digest; without such a digest, or if the leader is no longer reachable, it counts only itself
// as reachable.
func (t *Table) HostCounts(now time.Time) (reachable, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if leader := t.peers[t.leader]; leader != nil {
		if leader.reachable(now) && t.leaderDigest.Name == leader.Name {
			return t.leaderDigest.Reachable, t.leaderDigest.Known
		}
		return 1, t.knownHostsLocked(now)
	}
	names := map[string]bool{t.self.Name: true}
	for _, peer := range t.peers {
		if !peer.reachable(now) || t.roleLocked(peer) == RoleUnrelated {
			continue
		}
		names[peer.Name] = true
		for _, member := range peer.report.Members {
			names[member] = true
		}
	}
	return len(names), max(t.knownHostsLocked(now), len(names))
}

// knownHostsLocked returns the number of hosts that may be running, including this one.
func (t *Table) knownHostsLocked(now time.Time) int {
	n := 1
	for name, s := range t.sightings {
		if name != t.self.Name && !s.left && now.Sub(s.at) < knownTimeout {
			n++
		}
	}
	if now.Sub(t.leaderDigestAt) < knownTimeout {
		n = max(n, t.leaderDigest.Known)
	}
	return n
}

// PossibleHosts returns the number of hosts that may be running, this one included, if a host may run for an age after
// the last evidence of it. It counts the hosts that this one has heard of itself.
func (t *Table) PossibleHosts(now time.Time, age time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for name, s := range t.sightings {
		if name != t.self.Name && !s.left && now.Sub(s.at) < age {
			n++
		}
	}
	return n
}

// NewlyLost returns the peers that should be reachable but no longer are, with the time since
// their last message. Each loss is returned at most once: a peer that was not expected to send to
// this host when its loss was noticed is not returned later either.
func (t *Table) NewlyLost(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := map[string]time.Duration{}
	for _, peer := range t.peers {
		if peer.lastReceivedAt.IsZero() || peer.lossReported || peer.reachable(now) {
			continue
		}
		peer.lossReported = true
		if t.expectedLocked(peer) {
			lost[peer.Name] = now.Sub(peer.lastReceivedAt)
		}
	}
	return lost
}

// expectedLocked reports whether a peer should be sending to this host. This holds for this
// host's followers, for the other leaders if this host is a leader, and for the host that this
// host expects to respond as its leader, unless they are leaving.
func (t *Table) expectedLocked(peer *peerState) bool {
	return !peer.leaving && (peer.leader == t.self.Name ||
		peer.leader == peer.Name && t.leader == t.self.Name || t.awaited.name == peer.Name)
}

// LeaseHolderReachable reports whether another host is reachable whose group holds the duties' lease.
// A follower that receives its leader's messages always returns true: it leaves the lease to the
// leaders, which receive everything that the duties need.
func (t *Table) LeaseHolderReachable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	if leader := t.peers[t.leader]; leader != nil && leader.reachable(now) {
		return true
	}
	return t.leaseHolderReachableLocked(now)
}

func (t *Table) leaseHolderReachableLocked(now time.Time) bool {
	for _, peer := range t.peers {
		if peer.reachable(now) && peer.report.HoldsLease {
			return true
		}
	}
	return false
}

// Demand returns the sum of the followers' demand, by fleet. If all is set and this host is a
// leader, it includes the demand of the other groups. This host's own demand is not included.
func (t *Table) Demand(now time.Time, all bool) map[string]FleetDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateLeaderLocked(now)
	sum := map[string]FleetDemand{}
	for _, peer := range t.peers {
		if !peer.reachable(now) {
			continue
		}
		if role := t.roleLocked(peer); role == RoleUnrelated || role == RolePeerLeader && !all {
			continue
		}
		for name, d := range peer.report.Demand {
			sum[name] = sum[name].Add(d)
		}
	}
	return sum
}
