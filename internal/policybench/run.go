package policybench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/ratelimit"
)

const (
	// patience is how long a caller waits for the first token.
	patience = 2 * time.Second
	// warmUp is not measured.
	warmUp = 2 * time.Minute
	// measuredTime follows it.
	measuredTime = 4 * time.Minute
	// coolDown lets the last requests end.
	coolDown = 30 * time.Second
	// noticeTime is from the notice to the end of a reclaimed host.
	noticeTime = 10 * time.Second
)

// Scenario is what happens during a run.
type Scenario struct {
	Name string
	// Load is the offered requests as a part of the capacity.
	Load float64
	// ReportEvery is how often engines renew the load they report.
	ReportEvery time.Duration
	// LoadOnChunks: answers carry the load.
	LoadOnChunks bool
	// Reclaim takes a data centre away half a minute into the measured time.
	Reclaim bool
	// Faulty makes one engine fail each request at once during the measured time.
	Faulty bool
	// Preamble: all prompts begin with the same text.
	Preamble bool
	// Closed keeps all slots busy in place of open arrivals, to measure the capacity.
	Closed bool
}

// run is one scenario with one variant and seed.
type run struct {
	site     *Site
	scenario Scenario
	variant  Variant
	clock    *clock
	random   *rand.Rand
	cfg      *fleet.Configuration
	engines  map[string]*fakeEngine
	price    map[string]int64
	nodes    []*node
	measured *measured
	// prefixes that some engine has computed.
	prefixes map[uint64]bool
}

// Run drives one scenario. The rate is the mean of offered requests a second.
func Run(site *Site, scenario Scenario, variant Variant, rate float64, seed uint64) Result {
	if scenario.Preamble {
		site = site.withPreamble()
	}
	r := &run{
		site: site, scenario: scenario, variant: variant,
		clock: newClock(), random: rand.New(rand.NewPCG(seed, 1)),
		cfg: site.configuration(), engines: make(map[string]*fakeEngine),
		price: make(map[string]int64), prefixes: make(map[uint64]bool),
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
		r.price[endpoint.Name] = r.cfg.Hosts[i].PricePerHour
		e.publish()
		// Engines do not publish in step.
		offset := time.Duration(r.random.Int64N(int64(r.scenario.ReportEvery)))
		r.clock.after(offset, func() {
			e.publish()
			r.clock.every(r.scenario.ReportEvery, e.publish)
		})
	}
}

func (r *run) addNodes(seed uint64) {
	for i := range entryNodes {
		random := rand.New(rand.NewPCG(seed, uint64(i+2)))
		n := &node{run: r, policy: r.variant.policy(r.cfg, random), seen: make(map[string]int)}
		n.admitter = ratelimit.NewLimiter(r.cfg.Endpoints[0].Name)
		n.admitter.SetMembers(r.clock.now, entryNodes)
		n.admitter.SetConfiguration(r.clock.now, r.cfg)
		r.nodes = append(r.nodes, n)
		r.clock.after(time.Duration(i)*pollEvery/entryNodes, func() { r.clock.every(pollEvery, n.poll) })
		r.clock.every(cacheEventEvery, n.takeCacheEvents)
	}
}

func (r *run) schedule(rate float64) {
	if r.scenario.Reclaim {
		r.clock.after(warmUp+measuredTime/8, r.reclaim)
	}
	if r.scenario.Faulty {
		r.clock.after(warmUp, func() { r.engines[r.cfg.Endpoints[0].Name].failing = true })
	}
	if r.scenario.Closed {
		r.measured.onEnd = r.arrive
		for range 2 * r.site.Runners * r.site.Slots {
			r.clock.after(time.Duration(r.random.Int64N(int64(time.Second))), r.arrive)
		}
		return
	}
	r.nextArrival(rate)
}

func (r *run) nextArrival(rate float64) {
	peak := rate * r.site.Burst
	wait := time.Duration(r.random.ExpFloat64() / peak * float64(time.Second))
	r.clock.after(wait, func() {
		if r.random.Float64()*r.site.Burst < r.site.rate(r.clock.now.Sub(epoch)) {
			r.arrive()
		}
		r.nextArrival(rate)
	})
}

// arrive brings a request through the balancer to some node.
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
			heard := time.Duration(r.random.Int64N(int64(noticeSpread)))
			r.clock.after(heard, func() { n.notice(host.Name) })
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

// countPrefill tells what was computed for the first time from what was computed again.
func (r *run) countPrefill(request *request, hit int) {
	computed := request.contextTokens() - hit
	fresh := 0
	for level, prefix := range request.prefixes {
		if !r.prefixes[prefix] {
			r.prefixes[prefix] = true
			fresh += request.ownTokens(level)
		}
	}
	if !request.prefilled {
		request.prefilled = true
		fresh += request.promptTokens - request.prefixTokens[len(request.prefixTokens)-1]
	}
	r.measured.prefill(computed, max(computed-fresh, 0))
}
