package policybench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/ratelimit"
)

const (
	// firstTokenTimeout is how long a caller waits for the first token.
	firstTokenTimeout = 2 * time.Second
	// warmUp is the time before the measurement starts.
	warmUp = 2 * time.Minute
	// measuredTime is the time of the measurement, after warmUp.
	measuredTime = 4 * time.Minute
	// coolDown is the time after the measurement in which the last requests end.
	coolDown = 30 * time.Second
	// noticeTime is the time between the notice and the end of a reclaimed host.
	noticeTime = 10 * time.Second
)

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name string
	// Load is the offered rate of requests as a fraction of the capacity.
	Load float64
	// ReportInterval is the time between two updates of an engine's load report.
	ReportInterval time.Duration
	// LoadOnChunks makes the first and the last chunk of an answer carry the engine's load report to
	// the node.
	LoadOnChunks bool
	// Reclaim announces, half a minute into the measured time, that a data centre is reclaimed.
	// Its engines stop noticeTime later.
	Reclaim bool
	// Faulty makes one engine fail every new request immediately from the start of the measured
	// time on.
	Faulty bool
	// Preamble makes all prompts start with the same text.
	Preamble bool
	// ClosedLoop keeps all slots busy instead of using open arrivals, to measure the capacity.
	// Load has no effect then, and no caller gives up.
	ClosedLoop bool
}

// run is one scenario with one variant and seed.
type run struct {
	site      *Site
	scenario  Scenario
	variant   Variant
	clock     *clock
	random    *rand.Rand
	cfg       *fleet.Configuration
	engines   map[string]*fakeEngine
	hostPrice map[string]int64
	nodes     []*node
	measured  *measured
	// prefixes are the prefixes of all requests for which some engine has started a prefill.
	prefixes map[uint64]bool
}

// Run simulates one scenario. The rate is the mean number of offered requests per second; it has
// no effect in a closed loop.
func Run(site *Site, scenario Scenario, variant Variant, rate float64, seed uint64) Result {
	if scenario.Preamble {
		site = site.withPreamble()
	}
	r := &run{
		site: site, scenario: scenario, variant: variant,
		clock: newClock(), random: rand.New(rand.NewPCG(seed, 1)),
		cfg: site.configuration(), engines: make(map[string]*fakeEngine),
		hostPrice: make(map[string]int64), prefixes: make(map[uint64]bool),
	}
	r.measured = newMeasured(r.clock)
	r.addEngines()
	r.addNodes(seed)
	r.schedule(rate)
	r.clock.runUntil(epoch.Add(warmUp + measuredTime + coolDown))
	return r.measured.result(rate)
}

func (r *run) addEngines() {
	for i, endpoint := range r.cfg.Endpoints {
		e := &fakeEngine{clock: r.clock, site: r.site, endpoint: endpoint, cache: newPrefixCache(r.site.CacheTokens)}
		e.onPrefill = r.countPrefill
		r.engines[endpoint.Name] = e
		r.hostPrice[endpoint.Name] = r.cfg.Hosts[i].PricePerHour
		e.publish()
		// Engines publish at different times.
		offset := time.Duration(r.random.Int64N(int64(r.scenario.ReportInterval)))
		r.clock.after(offset, func() {
			e.publish()
			r.clock.every(r.scenario.ReportInterval, e.publish)
		})
	}
}

func (r *run) addNodes(seed uint64) {
	for i := range entryNodes {
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		n := &node{run: r, policy: r.variant.policy(r.cfg, random), eventsSeen: make(map[string]int)}
		n.limiter = ratelimit.NewLimiter(r.cfg.Endpoints[0].Name)
		n.limiter.SetMembers(r.clock.now, entryNodes)
		n.limiter.SetConfiguration(r.clock.now, r.cfg)
		r.nodes = append(r.nodes, n)
		r.clock.after(time.Duration(i)*pollInterval/entryNodes, func() { r.clock.every(pollInterval, n.poll) })
		r.clock.every(cacheEventInterval, n.observeCacheEvents)
	}
}

func (r *run) schedule(rate float64) {
	if r.scenario.Reclaim {
		r.clock.after(warmUp+measuredTime/8, r.reclaim)
	}
	if r.scenario.Faulty {
		r.clock.after(warmUp, func() { r.engines[r.cfg.Endpoints[0].Name].failing = true })
	}
	if r.scenario.ClosedLoop {
		r.measured.onEnd = r.arrive
		for range 2 * r.site.Runners * r.site.Slots {
			r.clock.after(time.Duration(r.random.Int64N(int64(time.Second))), r.arrive)
		}
		return
	}
	r.nextArrival(rate)
}

func (r *run) nextArrival(rate float64) {
	peak := rate * r.site.BurstFactor
	wait := time.Duration(r.random.ExpFloat64() / peak * float64(time.Second))
	r.clock.after(wait, func() {
		if r.random.Float64()*r.site.BurstFactor < r.site.rate(r.clock.now.Sub(epoch)) {
			r.arrive()
		}
		r.nextArrival(rate)
	})
}

// arrive sends a request to a random node, as an external load balancer would.
func (r *run) arrive() {
	request := r.site.draw(r.random, r.clock.now)
	r.measured.offer(request)
	r.nodes[r.random.IntN(len(r.nodes))].serve(request)
}

func (r *run) reclaim() {
	for _, host := range r.cfg.Hosts {
		if host.DataCentre != dataCentres[len(dataCentres)-1] {
			continue
		}
		for _, n := range r.nodes {
			delay := time.Duration(r.random.Int64N(int64(noticePropagation)))
			r.clock.after(delay, func() { n.notice(host.Name) })
		}
	}
	r.clock.after(noticeTime, func() {
		for i, endpoint := range r.cfg.Endpoints {
			if r.cfg.Hosts[i].DataCentre == dataCentres[len(dataCentres)-1] {
				r.engines[endpoint.Name].stop()
			}
		}
	})
}

// countPrefill separates the tokens that were computed for the first time from those computed
// again.
func (r *run) countPrefill(request *request, cachedTokens int) {
	computed := request.contextTokens() - cachedTokens
	firstComputed := 0
	for level, prefix := range request.prefixes {
		if !r.prefixes[prefix] {
			r.prefixes[prefix] = true
			firstComputed += request.ownTokens(level)
		}
	}
	if !request.prefilled {
		request.prefilled = true
		firstComputed += request.promptTokens - request.prefixTokens[len(request.prefixTokens)-1]
	}
	r.measured.prefill(computed, max(computed-firstComputed, 0))
}
