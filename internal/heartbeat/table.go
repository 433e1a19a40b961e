package heartbeat

import (
	"sync"
	"time"
)

const (
	// minInterval is the least time between two reports of a host.
	minInterval = 250 * time.Millisecond
	// intervalPerPeer keeps what a host sends, and receives, to some eighty datagrams a second
	// whatever the number of those that it reports to.
	intervalPerPeer = 12 * time.Millisecond
	// intervalPerFollower keeps the digests of a lead to a few megabits a second.
	intervalPerFollower = 16 * time.Millisecond
	// heardIntervals is how many intervals after its last message a peer counts as heard:
	// three may be lost.
	heardIntervals = 5
	// maxDirect is the number of hosts up to which each reports to all.
	maxDirect = 12
	// knownFor is how long after it was last heard of a host may still be spending its part.
	knownFor = 10 * time.Second
	// forgetAfter is how long a peer that is neither heard nor listed is sent reports.
	forgetAfter = time.Minute
	// announceFor is how long after its start a host reports to all of its data centre.
	announceFor = 1500 * time.Millisecond
	// goneFor is how long a host that left in order is named.
	goneFor = 3 * time.Second
	// keptReceipts is how many reports of a follower can be echoed: some seconds' worth.
	keptReceipts = 32
)

// Table is what this host knows of its peers. It may be used by several goroutines.
type Table struct {
	self      Peer
	startedAt time.Time
	mu        sync.Mutex
	peers     map[string]*known
	// sightings are the hosts known through anybody.
	sightings map[string]sighting
	// lead is the host that this one follows; its own name if none. It is direct if so few
	// hosts are known that each reports to all. Both are as of the newest refresh.
	lead   string
	direct bool
	// nextTo is the lead beside which this host leads itself, as it holds the duties' lease.
	nextTo *known
	// pursued is the host that is expected to answer as lead.
	pursued pursuit
	// probed counts the probes of hosts that did not answer.
	probed int
	// holding is set while this host holds the duties' lease: it then follows nobody.
	holding bool
	// told is the newest digest of the lead, and toldAt when it came.
	told   Digest
	toldAt time.Time
}

// pursuit is a host that is expected to answer.
type pursuit struct {
	name  string
	since time.Time
}

// sighting is the newest sign of a host, by itself or through others.
type sighting struct {
	at time.Time
	// gone tells that the host left in order.
	gone bool
}

// known is what is known of one run of a peer.
type known struct {
	Peer
	// number is that of its newest report, digestNumber that of its newest digest.
	number       uint64
	digestNumber uint64
	heardAt      time.Time
	// addedAt is when the peer became known, heard or not; listedAt when it was last listed.
	addedAt  time.Time
	listedAt time.Time
	interval time.Duration
	leaving  bool
	leftAt   time.Time
	// toldLost is set once the peer's silence was reported.
	toldLost bool
	// failed is set if the peer was pursued and did not answer, until it is heard.
	failed bool
	// lead is the host that it follows; its own name if none.
	lead string
	// report is its newest.
	report   *Report
	receipts []receipt
}

// receipt is the arrival of a report.
type receipt struct {
	number uint64
	at     time.Time
}

// NewTable returns a table that knows only its own host, which starts now.
func NewTable(now time.Time, self Peer) *Table {
	return &Table{
		startedAt: now,
		self:      self,
		peers:     map[string]*known{},
		sightings: map[string]sighting{},
		lead:      self.Name,
		direct:    true,
	}
}

// Add takes in a peer that the store lists.
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
		t.peers[p.Name] = &known{Peer: p, addedAt: now}
		t.sightings[p.Name] = sighting{at: now}
	}
	t.peers[p.Name].listedAt = now
}

// SetHoldsLease tells whether this host holds the duties' lease.
func (t *Table) SetHoldsLease(holding bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holding = holding
}

// Interval is the time between two reports of this host.
func (t *Table) Interval(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	if t.direct {
		return max(minInterval, time.Duration(len(t.peers))*intervalPerPeer)
	}
	return max(minInterval, time.Duration(len(t.followersLocked(now)))*intervalPerFollower)
}

// HostCounts tells how many hosts are heard, directly or through others, and how many may be at
// work, this one included.
func (t *Table) HostCounts(now time.Time) (heard, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	if lead := t.peers[t.lead]; lead != nil {
		if lead.heard(now) && t.told.Name == lead.Name {
			return t.told.Heard, t.told.Known
		}
		return 1, t.knownLocked(now)
	}
	names := map[string]bool{t.self.Name: true}
	for _, k := range t.peers {
		if !k.heard(now) || t.roleLocked(k) == RoleUnrelated {
			continue
		}
		names[k.Name] = true
		for _, member := range k.report.Members {
			names[member] = true
		}
	}
	return len(names), max(t.knownLocked(now), len(names))
}

// knownLocked counts the hosts that may be at work.
func (t *Table) knownLocked(now time.Time) int {
	n := 1
	for name, s := range t.sightings {
		if name != t.self.Name && !s.gone && now.Sub(s.at) < knownFor {
			n++
		}
	}
	if now.Sub(t.toldAt) < knownFor {
		n = max(n, t.told.Known)
	}
	return n
}

// NewlyLost lists the peers that are no longer heard though they should be, each once, with
// how long ago they were.
func (t *Table) NewlyLost(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := map[string]time.Duration{}
	for _, k := range t.peers {
		if k.heardAt.IsZero() || k.toldLost || k.heard(now) {
			continue
		}
		k.toldLost = true
		if t.expectedLocked(k) {
			lost[k.Name] = now.Sub(k.heardAt)
		}
	}
	return lost
}

// expectedLocked reports whether a peer sends to this host: not those that follow another.
func (t *Table) expectedLocked(k *known) bool {
	return !k.leaving && (k.lead == t.self.Name || k.lead == k.Name && t.lead == t.self.Name || t.pursued.name == k.Name)
}

// LeaseHolderHeard reports whether a host is heard that holds the duties' lease. A host that hears
// its lead leaves the lease to the leads, who hear of everything that the duties need.
func (t *Table) LeaseHolderHeard(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	if lead := t.peers[t.lead]; lead != nil && lead.heard(now) {
		return true
	}
	return t.holderHeardLocked(now)
}

func (t *Table) holderHeardLocked(now time.Time) bool {
	for _, k := range t.peers {
		if k.heard(now) && k.report != nil && k.report.HoldsLease {
			return true
		}
	}
	return false
}

// Demand sums what callers ask of the followers and, if all is set, of the other groups.
func (t *Table) Demand(now time.Time, all bool) map[string]FleetDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked(now)
	sum := map[string]FleetDemand{}
	for _, k := range t.peers {
		if !k.heard(now) || k.report == nil {
			continue
		}
		if role := t.roleLocked(k); role == RoleUnrelated || role == RolePeerLeader && !all {
			continue
		}
		for name, d := range k.report.Demand {
			sum[name] = sum[name].Add(d)
		}
	}
	return sum
}
