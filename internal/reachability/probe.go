package reachability

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// probeWindow and maxProbes bound the probes of a host: maxProbes in each probeWindow.
	probeWindow = 1100 * time.Millisecond
	maxProbes   = 2
	// suspectInterval is the least time between two probings of a fleet that is in reach.
	suspectInterval = time.Second
	// minLostInterval and maxLostInterval are the times between two probes of a fleet out of reach, which double.
	minLostInterval = 400 * time.Millisecond
	maxLostInterval = 800 * time.Millisecond
	// intervalJitter is the share of an interval that is random.
	intervalJitter = 0.25
	// wantedRetention is how long after its last request a fleet is probed, and lostRetention how long after it a
	// fleet stays out of reach: nothing would find out that it no longer is.
	wantedRetention = 3 * time.Second
	lostRetention   = 30 * time.Second
)

// Endpoint is an endpoint that requests may be sent to.
type Endpoint struct {
	ID      string
	Address string
}

// Probe asks for a request for the health check of an endpoint, on a connection of its own.
type Probe struct {
	Fleet    string
	Endpoint Endpoint
	// Timeout bounds it: as long as requests to the fleet may take, since health checks wait like them.
	Timeout time.Duration
}

// minProbeTimeout and maxProbeTimeout bound the timeout of a probe.
const (
	minProbeTimeout = 250 * time.Millisecond
	maxProbeTimeout = time.Second
)

// probeTimeout returns the timeout of a probe of the fleet. While nothing is known of how long it takes to answer, and
// while it is out of reach, that is the longest.
func (f *fleet) probeTimeout() time.Duration {
	usual := f.pauses.high()
	if usual == 0 || !f.lostSince.IsZero() {
		return maxProbeTimeout
	}
	return min(max(patienceFactor*usual, minProbeTimeout), maxProbeTimeout)
}

// Check is what is to be done about the links now.
type Check struct {
	Probes []Probe
	// Lost are the fleets that are out of reach from now on, as silence shows.
	Lost []string
	// Forgotten are the fleets that no longer count as out of reach because they have had no request for long.
	Forgotten []string
	// TakeBack are to be called: they end requests that wait in vain.
	TakeBack []func()
	// Ask are the fleets of which peers are to be asked whether they hear them.
	Ask []string
}

// budget holds when the last probes were asked for.
type budget [maxProbes]time.Time

// take reports whether a probe is allowed now, and counts it if so.
func (b *budget) take(now time.Time) bool {
	oldest := 0
	for i, at := range b {
		if at.Before(b[oldest]) {
			oldest = i
		}
	}
	if now.Sub(b[oldest]) < probeWindow {
		return false
	}
	b[oldest] = now
	return true
}

// schedule says when a fleet is probed.
type schedule struct {
	next     time.Time
	interval time.Duration
	// turn counts the endpoints that were probed in turn.
	turn int
}

// begin schedules the first probe of a fleet that has gone out of reach.
func (s *schedule) begin(now time.Time) { s.next, s.interval = now, minLostInterval }

// advance schedules the next probe. The random number is from 0 to 1.
func (s *schedule) advance(now time.Time, lost bool, random float64) {
	interval := suspectInterval
	if lost {
		interval = s.interval
		s.interval = min(2*s.interval, maxLostInterval)
	}
	s.next = now.Add(interval - time.Duration(random*intervalJitter*float64(interval)))
}

// Check returns what is to be done now. endpoints returns those of a fleet that requests may be sent to; it is
// called only for fleets with something against them. The random number, from 0 to 1, is the jitter of the probes.
func (t *Table) Check(now time.Time, random float64, endpoints func(fleet string) []Endpoint) Check {
	t.checks.Lock()
	defer t.checks.Unlock()
	var c Check
	fleets := t.all()
	for _, name := range inProbeOrder(fleets) {
		fleets[name].check(now, random, name, endpoints, &t.budget, &c)
	}
	return c
}

// inProbeOrder returns the names of fleets, those that have waited longest for a probe first.
func inProbeOrder(fleets map[string]*fleet) []string {
	next := make(map[string]time.Time, len(fleets))
	for name, f := range fleets {
		f.mu.Lock()
		next[name] = f.schedule.next
		f.mu.Unlock()
	}
	return slices.SortedFunc(maps.Keys(next), func(a, b string) int {
		return cmp.Or(next[a].Compare(next[b]), cmp.Compare(a, b))
	})
}

// check adds what is to be done about one fleet.
func (f *fleet) check(
	now time.Time, random float64, name string, endpoints func(string) []Endpoint, b *budget, c *Check,
) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clear.Load() && len(f.silentWaits(now)) == 0 && !f.isAsked(now) {
		return
	}
	if f.forgetIfUnwanted(now) {
		c.Forgotten = append(c.Forgotten, name)
		return
	}
	list := endpoints(name)
	if f.becomesLost(now, len(list)) {
		c.Lost = append(c.Lost, name)
	}
	if f.dueQuestion(now) {
		c.Ask = append(c.Ask, name)
	}
	c.TakeBack = append(c.TakeBack, f.takeSilent(now, len(list))...)
	for _, e := range f.dueProbes(now, random, list, b) {
		c.Probes = append(c.Probes, Probe{Fleet: name, Endpoint: e, Timeout: f.probeTimeout()})
	}
}

// unwantedFor returns the time since the last request; zero while one waits.
func (f *fleet) unwantedFor(now time.Time) time.Duration {
	if len(f.waits) > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, f.wantedAt.Load()))
}

// forgetIfUnwanted ends the state of a fleet out of reach that has had no request for long, and reports whether it
// did.
func (f *fleet) forgetIfUnwanted(now time.Time) bool {
	if f.lostSince.IsZero() || f.unwantedFor(now) < lostRetention {
		return false
	}
	f.lostSince = time.Time{}
	clear(f.failures)
	f.clear.Store(true)
	return true
}

// dueProbes returns the endpoints to probe now.
func (f *fleet) dueProbes(now time.Time, random float64, list []Endpoint, b *budget) []Endpoint {
	lost := !f.lostSince.IsZero()
	asked := f.isAsked(now)
	wanted := asked || f.unwantedFor(now) < wantedRetention
	suspect := f.isSuspect(now, len(list))
	if len(list) == 0 || !wanted || now.Before(f.schedule.next) || !lost && !suspect && !asked {
		return nil
	}
	most := maxProbes
	if lost || !suspect {
		most = 1
	}
	var due []Endpoint
	for _, e := range f.probeOrder(list)[:min(most, len(list))] {
		if !b.take(now) {
			break
		}
		due = append(due, e)
	}
	if len(due) > 0 {
		f.schedule.advance(now, lost, random)
	}
	return due
}

// probeOrder returns the endpoints in the order in which they are probed: in turn, but first those that nothing is
// known against.
func (f *fleet) probeOrder(list []Endpoint) []Endpoint {
	awaited := map[string]bool{}
	for w := range f.waits {
		awaited[w.Endpoint] = true
	}
	var first, last []Endpoint
	for i := range list {
		e := list[(f.schedule.turn+i)%len(list)]
		if _, failed := f.failures[e.ID]; failed || awaited[e.ID] {
			last = append(last, e)
		} else {
			first = append(first, e)
		}
	}
	f.schedule.turn++
	return append(first, last...)
}
