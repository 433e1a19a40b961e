package fairshare

import (
	"cmp"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxReported is the number of organisations of a fleet that are reported one by one; the others are summed.
	maxReported = 24
	// maxReportedFleets bounds the fleets of a message.
	maxReportedFleets = 16
	// reportFullness is how full endpoints are when demand is reported.
	reportFullness = 0.5
	// peerFreshAge is how long the demand that a peer has reported counts in full, and peerTimeConstant that of its
	// decay from then on: the callers of a host that is gone come to others. It is dropped after peerMaxAge.
	peerFreshAge     = 600 * time.Millisecond
	peerTimeConstant = 300 * time.Millisecond
	peerMaxAge       = 2500 * time.Millisecond
)

// Report is the demand for the fleets that are short or may soon be, through one host or several.
type Report struct {
	Fleets []FleetReport `json:"fleets"`
}

// FleetReport is the demand for a fleet: that of the organisations with the largest one, and the sum of the others'.
type FleetReport struct {
	Fleet  string   `json:"fleet"`
	Demand []Demand `json:"demand,omitempty"`
	Others *Cost    `json:"others,omitempty"`
}

// Demand is the mean demand of an organisation. Its text form is compact, the fields separated by spaces.
type Demand struct {
	Organisation string
	Cost         Cost
}

// MarshalText implements encoding.TextMarshaler.
func (d Demand) MarshalText() ([]byte, error) {
	text := []byte(url.QueryEscape(d.Organisation))
	for _, v := range d.Cost {
		text = strconv.AppendFloat(append(text, ' '), v, 'g', 4, 64)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Fields that a later version adds are ignored. A malformed demand
// gets a cost that is not valid, so that it is ignored: an error would cost the whole message of the peer.
func (d *Demand) UnmarshalText(text []byte) error {
	*d = Demand{Cost: Cost{-1}}
	fields := strings.Split(string(text), " ")
	if len(fields) < 1+int(kindCount) {
		return nil
	}
	name, err := url.QueryUnescape(fields[0])
	if err != nil {
		return nil
	}
	var cost Cost
	for k := range cost {
		if cost[k], err = strconv.ParseFloat(fields[1+k], 64); err != nil {
			return nil
		}
	}
	*d = Demand{name, cost}
	return nil
}

// peerDemand is what a peer has reported for a fleet.
type peerDemand struct {
	at time.Time
	// follower means that the peer follows this host.
	follower bool
	demand   map[string]Cost
	others   Cost
}

// weight is what the report counts, from 0 to 1.
func (d *peerDemand) weight(now time.Time) float64 {
	over := now.Sub(d.at) - peerFreshAge
	if over <= 0 {
		return 1
	}
	return math.Exp(-float64(over) / float64(peerTimeConstant))
}

// Scope selects the hosts whose demand is summed.
type Scope int

// The scopes.
const (
	// ScopeGroup is this host and its followers.
	ScopeGroup Scope = iota
	// ScopeAll is this host and all peers.
	ScopeAll
)

// Report returns the demand through the hosts in the scope; nil if no fleet is short or nearly so.
func (t *Table) Report(now time.Time, scope Scope) *Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.weights) < 2 {
		return nil
	}
	r := &Report{}
	for name, p := range t.pools {
		if f := p.report(now, scope); f != nil && len(r.Fleets) < maxReportedFleets {
			f.Fleet = name
			r.Fleets = append(r.Fleets, *f)
		}
	}
	if len(r.Fleets) == 0 {
		return nil
	}
	return r
}

func (p *pool) report(now time.Time, scope Scope) *FleetReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOldPeers(now)
	if _, fullness := p.room.fullest(); !p.short && fullness < reportFullness && !p.peersReport(scope) {
		return nil
	}
	sums, others := p.sum(now, scope)
	if len(sums) == 0 && others == (Cost{}) {
		return nil
	}
	return newFleetReport(sums, others)
}

// peersReport reports whether peers in the scope report demand for the fleet.
func (p *pool) peersReport(scope Scope) bool {
	for _, d := range p.peers {
		if scope == ScopeAll || d.follower {
			return true
		}
	}
	return false
}

// sum adds the demand up by organisation.
func (p *pool) sum(now time.Time, scope Scope) (sums map[string]Cost, others Cost) {
	sums = make(map[string]Cost, len(p.members))
	for name, m := range p.members {
		m.decay(now)
		sums[name] = m.rate
	}
	for _, d := range p.peers {
		if scope == ScopeGroup && !d.follower {
			continue
		}
		weight := d.weight(now)
		others = others.plus(d.others.times(weight))
		for name, c := range d.demand {
			sums[name] = sums[name].plus(c.times(weight))
		}
	}
	return sums, others
}

func newFleetReport(sums map[string]Cost, others Cost) *FleetReport {
	f := &FleetReport{}
	for name, c := range sums {
		if c[Slots] >= minReportedSlots {
			f.Demand = append(f.Demand, Demand{name, c})
		}
	}
	slices.SortFunc(f.Demand, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Cost[Slots], a.Cost[Slots]), cmp.Compare(a.Organisation, b.Organisation))
	})
	for len(f.Demand) > maxReported {
		last := len(f.Demand) - 1
		others = others.plus(f.Demand[last].Cost)
		f.Demand = f.Demand[:last]
	}
	if others != (Cost{}) {
		f.Others = &others
	}
	return f
}

// minReportedSlots is the least demand that is reported, in slots.
const minReportedSlots = 0.001

// Subtract returns a report without a host's own part, which is what that host has reported last.
func Subtract(all, own *Report) *Report {
	if all == nil || own == nil {
		return all
	}
	out := &Report{Fleets: slices.Clone(all.Fleets)}
	for i := range out.Fleets {
		for j := range own.Fleets {
			if own.Fleets[j].Fleet == out.Fleets[i].Fleet {
				out.Fleets[i] = out.Fleets[i].minus(&own.Fleets[j])
			}
		}
	}
	return out
}

func (f FleetReport) minus(own *FleetReport) FleetReport {
	left := make(map[string]Cost, len(own.Demand))
	for _, d := range own.Demand {
		left[d.Organisation] = d.Cost
	}
	f.Demand = slices.Clone(f.Demand)
	for i, d := range f.Demand {
		f.Demand[i].Cost = d.Cost.minus(left[d.Organisation])
		delete(left, d.Organisation)
	}
	if f.Others == nil {
		return f
	}
	// What the others' sum may contain of this host.
	others := *f.Others
	for _, c := range left {
		others = others.minus(c)
	}
	if own.Others != nil {
		others = others.minus(*own.Others)
	}
	f.Others = &others
	return f
}

// Apply replaces what a peer has reported; follower tells whether the peer follows this host. Fleets that are not
// configured and senseless figures are ignored.
func (t *Table) Apply(now time.Time, peer string, follower bool, r *Report) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	byFleet := map[string]*FleetReport{}
	if r != nil {
		for i := range r.Fleets[:min(len(r.Fleets), maxReportedFleets)] {
			byFleet[r.Fleets[i].Fleet] = &r.Fleets[i]
		}
	}
	for name, p := range t.pools {
		p.mu.Lock()
		p.setPeer(now, peer, follower, byFleet[name])
		p.mu.Unlock()
	}
}

func (p *pool) setPeer(now time.Time, peer string, follower bool, f *FleetReport) {
	if f == nil {
		delete(p.peers, peer)
		return
	}
	d := peerDemand{at: now, follower: follower, demand: make(map[string]Cost, len(f.Demand))}
	for _, o := range f.Demand[:min(len(f.Demand), maxReported)] {
		if o.Cost.valid() {
			d.demand[o.Organisation] = o.Cost
		}
	}
	if f.Others != nil && f.Others.valid() {
		d.others = *f.Others
	}
	p.peers[peer] = d
}

func (p *pool) dropOldPeers(now time.Time) {
	for name, d := range p.peers {
		if now.Sub(d.at) > peerMaxAge {
			delete(p.peers, name)
		}
	}
}

// ForgetPeers drops what all peers have reported.
func (t *Table) ForgetPeers() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, p := range t.pools {
		p.mu.Lock()
		clear(p.peers)
		p.mu.Unlock()
	}
}
