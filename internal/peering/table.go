// Package peering keeps the entry hosts in touch: each sends the others a small report some
// times a second. Reports may be lost, late or doubled, and may stop at any time; whatever
// is decided by them falls back to a host's own view. The package does no I/O.
package peering

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/placement"
	"rattanchute/internal/quota"
	"rattanchute/internal/usage"
)

const (
	// minInterval is the least time between two reports of a host.
	minInterval = 250 * time.Millisecond
	// intervalPerPeer keeps what a host sends, and receives, to some eighty datagrams a second
	// whatever the number of peers.
	intervalPerPeer = 12 * time.Millisecond
	// heardIntervals is how many intervals after its last report a peer counts as heard: three
	// reports may be lost.
	heardIntervals = 5
	// maxAllWatching is the number of hosts up to which all of them watch the store.
	maxAllWatching = 12
	// watchers is how many hosts watch for the others where there are more.
	watchers = 6
	// knownFor is how long after its last report a peer may still be spending its part.
	knownFor = 10 * time.Second
)

// Peer is one run of an entry host.
type Peer struct {
	Name string `json:"name"`
	// Incarnation rises with each start of the host, in Unix milliseconds.
	Incarnation int64 `json:"incarnation"`
	// Address is "ip:port" for reports.
	Address string `json:"address"`
}

// Report is what one host tells the others.
type Report struct {
	Peer
	// Number rises with each report of a run.
	Number uint64 `json:"number"`
	// WallMillis is the sender's date in Unix milliseconds.
	WallMillis int64 `json:"wall_ms"`
	// Leaving hosts have ended their last request and send no more.
	Leaving bool `json:"leaving,omitempty"`
	// HoldsLease tells that the sender holds the duties' lease.
	HoldsLease bool `json:"holds_lease,omitempty"`
	// ConfigurationVersion and EndpointsVersion are store versions: of the configuration in
	// force and of the newest change of endpoints.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	EndpointsVersion     uint64 `json:"endpoints_version,omitempty"`

	Quota  quota.Statement        `json:"quota"`
	Usage  map[int64]usage.Counts `json:"usage,omitempty"`
	Loads  []placement.Load       `json:"loads,omitempty"`
	Reads  []placement.Read       `json:"reads,omitempty"`
	Demand map[string]FleetDemand `json:"demand,omitempty"`
}

// FleetDemand is what callers have lately asked of a fleet through one host.
type FleetDemand struct {
	// RequestsPerSecond counts refused requests as well.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// PromptTokens and OutputTokens are means of a request.
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens float64 `json:"output_tokens"`
}

// Interval is the time between two reports of a host with a number of peers.
func Interval(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*intervalPerPeer)
}

// Table is what this host knows of its peers. It may be used by several goroutines.
type Table struct {
	self  Peer
	mu    sync.Mutex
	peers map[string]*known
}

type known struct {
	Peer
	number  uint64
	heardAt time.Time
	// addedAt is when the peer became known, heard or not.
	addedAt time.Time
	leaving bool
	// toldLost is set once the peer's silence was reported.
	toldLost bool
	holder   bool
	demand   map[string]FleetDemand
}

// NewTable returns a table that knows only its own host.
func NewTable(self Peer) *Table { return &Table{self: self, peers: map[string]*known{}} }

// Add takes in a peer that the store lists.
func (t *Table) Add(now time.Time, p Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Name == t.self.Name {
		return
	}
	if old := t.peers[p.Name]; old != nil && old.Incarnation >= p.Incarnation {
		return
	}
	t.peers[p.Name] = &known{Peer: p, addedAt: now}
}

// Heard takes in a report and tells whether it is news, and whether its sender was not
// heard before.
func (t *Table) Heard(now time.Time, r *Report) (news, joined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Name == t.self.Name || r.Name == "" {
		return false, false
	}
	k := t.peers[r.Name]
	if k != nil && (r.Incarnation < k.Incarnation || r.Incarnation == k.Incarnation && r.Number <= k.number) {
		return false, false
	}
	if k == nil || k.Incarnation != r.Incarnation {
		k = &known{Peer: r.Peer, addedAt: now}
		t.peers[r.Name] = k
	}
	joined = k.heardAt.IsZero() || k.toldLost
	k.toldLost = false
	k.Peer = r.Peer
	k.number = r.Number
	k.heardAt = now
	k.leaving = r.Leaving
	k.holder = r.HoldsLease
	k.demand = r.Demand
	return true, joined
}

// heardLocked reports whether a peer has sent a report of late.
func (t *Table) heardLocked(k *known, now time.Time) bool {
	return !k.leaving && !k.heardAt.IsZero() && now.Sub(k.heardAt) < heardIntervals*Interval(len(t.peers))
}

// Interval is the time between two reports of this host.
func (t *Table) Interval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Interval(len(t.peers))
}

// Watches reports whether this host watches the store. Of many hosts only some do: a waiting
// watch costs a call with each change. The others hear of changes from them and read.
func (t *Table) Watches(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) < maxAllWatching {
		return true
	}
	before := 0
	own := watchRank(t.self.Name)
	for _, k := range t.peers {
		if t.heardLocked(k, now) && watchRank(k.Name) < own {
			before++
		}
	}
	return before < watchers
}

// watchRank orders hosts for watching, the same on all.
func watchRank(name string) uint64 { return xxhash.Sum64String("watch\x00" + name) }

// last is when the peer was last known to live.
func (k *known) last() time.Time {
	if k.heardAt.After(k.addedAt) {
		return k.heardAt
	}
	return k.addedAt
}

// Counts tells how many hosts are heard and how many may be at work, this one included.
func (t *Table) Counts(now time.Time) (heard, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, known = 1, 1
	for _, k := range t.peers {
		if t.heardLocked(k, now) {
			heard++
		}
		if !k.leaving && now.Sub(k.last()) < knownFor {
			known++
		}
	}
	return heard, known
}

// Addresses are those to send reports to. A peer that is silent for long is still tried.
func (t *Table) Addresses(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, k := range t.peers {
		if !k.leaving && now.Sub(k.last()) < forgetAfter {
			out = append(out, k.Address)
		}
	}
	slices.Sort(out)
	return out
}

// forgetAfter is how long a silent peer is sent reports.
const forgetAfter = time.Minute

// NewlyLost lists the peers that are no longer heard, each once, with how long ago they were.
func (t *Table) NewlyLost(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := map[string]time.Duration{}
	for _, k := range t.peers {
		if k.heardAt.IsZero() || k.toldLost || t.heardLocked(k, now) {
			continue
		}
		k.toldLost = true
		lost[k.Name] = now.Sub(k.heardAt)
	}
	return lost
}

// HolderHeard reports whether a peer says that it holds the duties' lease.
func (t *Table) HolderHeard(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.peers {
		if k.holder && t.heardLocked(k, now) {
			return true
		}
	}
	return false
}

// Demand sums what the heard peers are asked for.
func (t *Table) Demand(now time.Time) map[string]FleetDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]FleetDemand{}
	for _, k := range t.peers {
		if !t.heardLocked(k, now) {
			continue
		}
		for name, d := range k.demand {
			sum[name] = sum[name].Add(d)
		}
	}
	return sum
}

// Add joins two demands; means are weighted by their rates.
func (d FleetDemand) Add(other FleetDemand) FleetDemand {
	rate := d.RequestsPerSecond + other.RequestsPerSecond
	if rate <= 0 {
		return d
	}
	mean := func(a, b float64) float64 {
		return (a*d.RequestsPerSecond + b*other.RequestsPerSecond) / rate
	}
	return FleetDemand{
		RequestsPerSecond: rate,
		PromptTokens:      mean(d.PromptTokens, other.PromptTokens),
		OutputTokens:      mean(d.OutputTokens, other.OutputTokens),
	}
}
