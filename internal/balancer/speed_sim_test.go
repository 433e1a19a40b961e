package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

// speedSim plays hosts in front of endpoints that turn slow by turns, in virtual time. Hosts tell each other their
// loads and what endpoints state.
type speedSim struct {
	hosts, endpoints int
	// perSecond is the rate of all requests, and work how long one takes as usual.
	perSecond float64
	work      time.Duration
	slots     int
	// slow is how many endpoints are slow at a time, factor how much longer work takes there, and turn how long.
	slow   int
	factor float64
	turn   time.Duration
	// natural is how much longer work always takes at every other endpoint; zero for as usual.
	natural float64
	// states has endpoints state their slowness.
	states bool
	length time.Duration
}

// speedResult is what a speedSim shows after its warm-up.
type speedResult struct {
	// slowShare is the share of the requests at slow endpoints, relative to their even part.
	slowShare float64
	// naturalShare is the same of the endpoints that are always slower.
	naturalShare float64
	// busiest is the largest number of requests at an endpoint in a window, relative to its even part.
	busiest float64
	p95     time.Duration
}

const (
	simTick        = 2 * time.Millisecond
	simReportTicks = 200
	simWarmup      = 5 * time.Second
	simWindow      = time.Second
	// simUsualP95 is within which 95 in 100 requests are answered if no endpoint is slow.
	simUsualP95 = 90 * time.Millisecond
)

type simEndpoint struct {
	id       string
	requests []*simRequest
}

type simRequest struct {
	attempt *Attempt
	at      time.Time
	left    time.Duration
}

func (s speedSim) tables() ([]*Table, []*simEndpoint) {
	var known []registry.Known
	var endpoints []*simEndpoint
	for i := range s.endpoints {
		id := fmt.Sprint("e", i)
		known = append(known, registry.Known{Endpoint: registry.Endpoint{ID: id, Fleet: plainFleet, Slots: s.slots, DataCentre: "dc", Address: id}})
		endpoints = append(endpoints, &simEndpoint{id: id})
	}
	var hosts []*Table
	for range s.hosts {
		h := NewTable("dc", backpressure.NewTable("host"))
		h.Configure(&fleet.Configuration{Fleets: []fleet.Fleet{{Name: plainFleet}}})
		h.SetEndpoints(known)
		hosts = append(hosts, h)
	}
	return hosts, endpoints
}

// momentOf returns the momentary slowness of an endpoint.
func (s speedSim) momentOf(i int, at time.Duration) float64 {
	first := int(at/s.turn) * s.slow
	if (i-first%s.endpoints+s.endpoints)%s.endpoints < s.slow {
		return s.factor
	}
	return 1
}

func (s speedSim) slownessOf(i int, at time.Duration) float64 {
	if s.natural > 0 && i%2 == 1 {
		return s.natural * s.momentOf(i, at)
	}
	return s.momentOf(i, at)
}

func (s speedSim) run(seed uint64) speedResult {
	rnd := rand.New(rand.NewPCG(seed, 1))
	hosts, endpoints := s.tables()
	index := map[string]int{}
	for i, e := range endpoints {
		index[e.id] = i
	}
	var result speedResult
	var took []time.Duration
	total, slow, natural := 0, 0, 0
	window := make([]int, s.endpoints)
	windowTotal := 0
	r := Request{Fleet: plainFleet}
	due := 0.0
	for at := time.Duration(0); at < s.length; at += simTick {
		now := epoch.Add(at)
		if int(at/simTick)%simReportTicks == 0 {
			exchangeLoads(now, hosts)
			exchangeSpeeds(now, hosts)
		}
		counted := at >= simWarmup
		if counted && at%simWindow == 0 {
			for i, n := range window {
				if even := float64(windowTotal) / float64(s.endpoints); even >= 4 && s.slownessOf(i, at) == 1 {
					result.busiest = max(result.busiest, float64(n)/even)
				}
			}
			clear(window)
			windowTotal = 0
		}
		for due += s.perSecond * simTick.Seconds(); due >= 1; due-- {
			h := hosts[rnd.IntN(len(hosts))]
			c, _ := h.Choose(now, rnd.Uint64(), r)
			i := index[c.Endpoint.ID]
			endpoints[i].requests = append(endpoints[i].requests, &simRequest{h.Begin(now, r, c), now, s.work/2 + time.Duration(rnd.Int64N(int64(s.work)))})
			window[i]++
			windowTotal++
			if counted {
				total++
				if s.momentOf(i, at) > 1 {
					slow++
				}
				if i%2 == 1 {
					natural++
				}
			}
		}
		for i, e := range endpoints {
			for _, d := range e.advance(now, s, i, at) {
				if counted {
					took = append(took, d)
				}
			}
		}
	}
	slices.Sort(took)
	result.p95 = took[len(took)*95/100]
	result.slowShare = float64(slow) / float64(total) / (float64(max(s.slow, 1)) / float64(s.endpoints))
	result.naturalShare = float64(natural) / float64(total) * 2
	return result
}

// advance works for one tick on as many requests as there are slots and returns how long the requests took that end.
func (e *simEndpoint) advance(now time.Time, s speedSim, i int, at time.Duration) []time.Duration {
	var done []time.Duration
	slowness := s.slownessOf(i, at)
	for _, r := range e.requests[:min(s.slots, len(e.requests))] {
		r.left -= time.Duration(float64(simTick) / slowness)
		if r.left > 0 {
			continue
		}
		if s.states {
			r.attempt.ObserveSlowdown(now, s.momentOf(i, at))
		}
		r.attempt.End(now, ResultOK)
		done = append(done, now.Sub(r.at))
	}
	e.requests = slices.DeleteFunc(e.requests, func(r *simRequest) bool { return r.left <= 0 })
	return done
}

// exchangeSpeeds tells each host what endpoints stated to the others.
func exchangeSpeeds(now time.Time, hosts []*Table) {
	for i, from := range hosts {
		report := from.SpeedReport(now, ScopeGroup)
		for j, to := range hosts {
			if i != j {
				to.ApplySpeedReport(now, report, false)
			}
		}
	}
}

func (r speedResult) String() string {
	return fmt.Sprintf("slow %.3f of the even part, always slower %.2f, busiest %.2f, p95 %v", r.slowShare, r.naturalShare, r.busiest, r.p95)
}

// TestEndpointsThatTurnSlowGetFewRequests has few and many hosts, and turns of different length.
func TestEndpointsThatTurnSlowGetFewRequests(t *testing.T) {
	for _, s := range []speedSim{
		{hosts: 4, endpoints: 8, perSecond: 200, slow: 2, factor: 4, turn: 3 * time.Second},
		{hosts: 4, endpoints: 8, perSecond: 200, slow: 3, factor: 4, turn: 2 * time.Second},
		{hosts: 4, endpoints: 4, perSecond: 200, slow: 1, factor: 4, turn: time.Second},
		{hosts: 4, endpoints: 6, perSecond: 120, slow: 2, factor: 6, turn: 4 * time.Second},
		{hosts: 73, endpoints: 60, perSecond: 1500, slow: 15, factor: 4, turn: 3 * time.Second},
	} {
		t.Run(s.name(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s.work, s.slots, s.length = 60*time.Millisecond, 32, 30*time.Second
			if s.hosts > 10 {
				s.length = 12 * time.Second
			}
			without := s.run(1)
			s.states = true
			with := s.run(1)
			t.Logf("without the statement: %v; with it: %v", without, with)
			is.True(with.slowShare <= 0.15)
			is.True(with.slowShare <= without.slowShare)
			is.True(with.p95 <= max(without.p95*8/10, simUsualP95))
		})
	}
}

func (s speedSim) name() string {
	return fmt.Sprintf("%d hosts, %d of %d endpoints slow for %v", s.hosts, s.slow, s.endpoints, s.turn)
}

// TestStatementsThatChangeManyTimesASecondDoNoHarm has turns that are over before the next request.
func TestStatementsThatChangeManyTimesASecondDoNoHarm(t *testing.T) {
	is := is.New(t)
	s := speedSim{hosts: 4, endpoints: 8, perSecond: 200, slow: 2, factor: 3, turn: 100 * time.Millisecond,
		work: 60 * time.Millisecond, slots: 32, length: 30 * time.Second}
	without := s.run(1)
	s.states = true
	with := s.run(1)
	t.Logf("without the statement: %v; with it: %v", without, with)
	is.True(with.slowShare <= 1)
	is.True(with.p95 <= without.p95*11/10)
}

// TestManyHostsDoNotAllSendToTheOneEndpointThatIsAsUsual has all other endpoints slow.
func TestManyHostsDoNotAllSendToTheOneEndpointThatIsAsUsual(t *testing.T) {
	is := is.New(t)
	s := speedSim{hosts: 73, endpoints: 60, perSecond: 1500, slow: 59, factor: 4, turn: 2 * time.Second,
		work: 60 * time.Millisecond, slots: 32, states: true, length: 10 * time.Second}
	with := s.run(1)
	t.Logf("%v", with)
	is.True(with.busiest <= 6)
}

// TestEndpointsThatAreAlwaysSlowerGetTheirPart has every other endpoint take 1.7 times as long by nature.
func TestEndpointsThatAreAlwaysSlowerGetTheirPart(t *testing.T) {
	is := is.New(t)
	s := speedSim{hosts: 4, endpoints: 8, perSecond: 1000, factor: 4, turn: 2 * time.Second, natural: 1.7,
		work: 60 * time.Millisecond, slots: 12, states: true, length: 30 * time.Second}
	with := s.run(1)
	t.Logf("%v", with)
	is.True(with.naturalShare >= 0.1)
	is.True(with.naturalShare <= 0.9)
}
