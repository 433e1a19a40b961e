package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rattanchute/internal/objectstore"
)

// Report is what a host tells others about the orders that it knows.
type Report struct {
	Fleets []FleetReport `json:"fleets"`
}

// FleetReport is what a host and its followers know of one order.
type FleetReport struct {
	Fleet  string `json:"fleet"`
	Target string `json:"target"`
	// StartMillis is that of the order's record.
	StartMillis int64 `json:"start_ms"`
	// Idle is the number of hosts that know that no request may go to old versions, and have none in progress there.
	Idle int `json:"idle,omitempty"`
	// Old is the number of requests in progress at old versions.
	Old int `json:"old,omitempty"`
	// LongestMillis is the longest time that a request has taken at an old version.
	LongestMillis int64 `json:"longest_ms,omitempty"`
	// Stopped says why the sender sends nothing more to the new version; empty if it does.
	Stopped string `json:"stopped,omitempty"`
	// StoppedHosts is the number of hosts that have stopped.
	StoppedHosts int `json:"stopped_hosts,omitempty"`
	// Canary is the number of hosts that know no later step than StepCanary and have begun to write none, at a cluster
	// time.
	Canary   int   `json:"canary,omitempty"`
	AtMillis int64 `json:"at_ms,omitempty"`
	// Requests are those sent since the order, and SentNew those to the new version in the canary step.
	Requests float64       `json:"requests,omitempty"`
	SentNew  float64       `json:"sent_new,omitempty"`
	Routes   []RouteCounts `json:"routes,omitempty"`
}

// Digest is what a leader tells its followers.
type Digest struct {
	AsOf    objectstore.Version `json:"as_of"`
	Entries []Entry             `json:"entries,omitempty"`
	Stopped []Stop              `json:"stopped,omitempty"`
}

// Stop says that the new version of an order gets no more requests.
type Stop struct {
	Fleet       string `json:"fleet"`
	Target      string `json:"target"`
	StartMillis int64  `json:"start_ms"`
	Reason      string `json:"reason"`
	// All is set if all hosts have stopped.
	All bool `json:"all,omitempty"`
}

// followerFreshness is for how long the report of a follower that it is idle counts.
const followerFreshness = 4 * time.Second

// peerReport is the newest report of a peer.
type peerReport struct {
	at       time.Time
	follower bool
	report   FleetReport
}

// Report returns what this host and its followers know of orders that have not ended; nil if there are none.
func (t *Table) Report(now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r Report
	for _, name := range slices.Sorted(maps.Keys(t.fleets)) {
		f := t.fleets[name]
		if f.deleted || f.entry.IsNew() || f.entry.Step().Ended() {
			continue
		}
		r.Fleets = append(r.Fleets, t.reportOf(now, f))
	}
	if r.Fleets == nil {
		return nil
	}
	return &r
}

// reportOf sums up this host and its followers.
func (t *Table) reportOf(now time.Time, f *fleetState) FleetReport {
	out := t.ownReport(now, f)
	routes := map[string]RouteCounts{}
	addRoutes(routes, out.Routes)
	for _, p := range f.peers {
		if p.follower {
			if now.Sub(p.at) > followerFreshness {
				p.report.Idle, p.report.StoppedHosts = 0, 0
			}
			out.add(&p.report)
			addRoutes(routes, p.routesAt(now))
		}
	}
	out.Routes = sortedRoutes(routes)
	return out
}

func (r *FleetReport) add(o *FleetReport) {
	r.Idle += o.Idle
	r.Old += o.Old
	r.LongestMillis = max(r.LongestMillis, o.LongestMillis)
	r.Stopped = cmp.Or(r.Stopped, o.Stopped)
	r.StoppedHosts += o.StoppedHosts
	if o.Canary > 0 {
		r.Canary += o.Canary
		r.AtMillis = min(r.AtMillis, o.AtMillis)
	}
	r.Requests += o.Requests
	r.SentNew += o.SentNew
}

// ownReport returns what this host alone knows.
func (t *Table) ownReport(now time.Time, f *fleetState) FleetReport {
	out := FleetReport{
		Fleet: f.entry.Name, Target: f.entry.Order.Target, StartMillis: f.entry.Record.StartMillis,
		Old: t.runningOld(f), LongestMillis: f.longest.Milliseconds(), Stopped: f.stopped,
		Requests: f.allowance.requests, SentNew: f.allowance.sentNew,
	}
	if f.entry.Step() == StepSwitch && out.Old == 0 {
		out.Idle = 1
	}
	if f.stopped != "" {
		out.StoppedHosts = 1
	}
	out.AtMillis = t.clusterTime(now).UnixMilli()
	if f.entry.Step() == StepCanary && f.switchBegunAt < f.entry.Version {
		out.Canary = 1
	}
	for _, name := range slices.Sorted(maps.Keys(f.routes)) {
		e := f.routes[name]
		e.fade(now)
		if e.counts.Since.All > 0 {
			out.Routes = append(out.Routes, e.counts.rounded())
		}
	}
	return out
}

// sum returns the counts of all known hosts by route.
func (f *fleetState) sum(now time.Time) map[string]RouteCounts {
	routes := map[string]RouteCounts{}
	for _, e := range f.routes {
		e.fade(now)
		addRoutes(routes, []RouteCounts{e.counts})
	}
	for _, p := range f.peers {
		addRoutes(routes, p.routesAt(now))
	}
	return routes
}

// routesAt returns the counts that a peer has reported, the recent ones reduced by their age.
func (p *peerReport) routesAt(now time.Time) []RouteCounts {
	routes := slices.Clone(p.report.Routes)
	left := math.Exp2(-float64(max(now.Sub(p.at), 0)) / float64(recentHalfLife))
	for i := range routes {
		routes[i].Recent.scale(left)
	}
	return routes
}

func addRoutes(sum map[string]RouteCounts, counts []RouteCounts) {
	for _, c := range counts {
		name := c.Route
		if _, known := sum[name]; !known && len(sum) >= maxRoutes {
			name = otherRoute
		}
		r := sum[name]
		r.Route = name
		r.add(c)
		sum[name] = r
	}
}

func sortedRoutes(routes map[string]RouteCounts) []RouteCounts {
	var out []RouteCounts
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		out = append(out, routes[name])
	}
	return out
}
