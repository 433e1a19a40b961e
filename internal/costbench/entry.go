package costbench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

const (
	pollInterval = time.Second
	retryTime    = 200 * time.Millisecond
)

// entry takes requests in and routes them, as one router for all entry nodes.
type entry struct {
	clock *clock
	// arrivals draws the workload, rng all that depends on the policy.
	arrivals, rng *rand.Rand
	site          *Site
	variant       *Variant
	cloud         *fakeCloud
	router        *route.Router
	meter         *capacity.Meter
	result        *Result
}

func newEntry(c *clock, seed uint64, s *Site, v *Variant, cloud *fakeCloud, result *Result) *entry {
	e := &entry{
		clock:    c,
		arrivals: rand.New(rand.NewPCG(seed, streamArrivals)),
		rng:      rand.New(rand.NewPCG(seed, streamRouting)),
		site:     s, variant: v, cloud: cloud, result: result,
		router: route.NewRouter(s.places[0].name), meter: capacity.NewMeter(s.fleet),
	}
	e.router.SetTable(route.Compile(s.configuration()))
	for _, m := range cloud.machines {
		e.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: "none", Phase: fleet.PhaseGone})
	}
	cloud.newEngine = func() *fakeEngine { return newEngine(c, s.class, e.firstToken) }
	return e
}

// arrive draws the next arrival by thinning a Poisson process of the highest rate.
func (e *entry) arrive() {
	highest := e.site.maxRate()
	e.clock.after(time.Duration(e.arrivals.ExpFloat64()/highest*float64(time.Second)), func() {
		e.arrive()
		since := max(e.clock.now.Sub(epoch), 0)
		if e.arrivals.Float64()*highest < e.site.rate(since) {
			e.admit(e.draw())
		}
	})
}

func (e *entry) draw() *request {
	return &request{
		arrived: e.clock.now,
		node:    e.arrivals.IntN(entryNodes),
		prompt:  int(e.logNormal(e.site.promptTokens, e.site.promptSig)),
		output:  max(min(int(e.logNormal(e.site.outputTokens, e.site.outputSig)), e.site.maxTokens), 1),
	}
}

// logNormal draws from the distribution with the mean and the sigma of its logarithm.
func (e *entry) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*e.arrivals.NormFloat64()-sigma*sigma/2)
}

func (e *entry) admit(r *request) {
	e.meter.ObserveRequest(e.clock.now, r.prompt)
	e.send(r, "")
}

// send gives the request to the named host, if that still takes work, else to the
// policy's choice; without any it tries again.
func (e *entry) send(r *request, wanted string) {
	m := e.cloud.byName[wanted]
	if m == nil || m.phase != capacity.PhaseReady {
		r.transferred = false
		m = e.choose(r)
	}
	if m == nil {
		e.clock.after(retryTime, func() { e.send(r, "") })
		return
	}
	began := e.clock.now
	e.router.Begin(m.spec.Name)
	m.engine.submit(r, func() { e.finished(r, m, began) })
}

func (e *entry) choose(r *request) *machine {
	if e.variant.leastLoaded {
		return e.leastLoaded()
	}
	choice, err := e.router.Choose(e.clock.now, e.rng.Uint64(), route.Query{
		Organisation: organisation, Fleet: e.site.fleet,
		PromptTokens: r.prompt, MaxTokens: e.site.maxTokens,
	})
	if err != nil {
		return nil
	}
	return e.cloud.byName[choice.Endpoint.Name]
}

// leastLoaded knows the exact load of each engine.
func (e *entry) leastLoaded() *machine {
	var best *machine
	lowest := math.MaxInt
	for _, m := range e.cloud.machines {
		if m.phase != capacity.PhaseReady {
			continue
		}
		if load := len(m.engine.streams); load < lowest {
			best, lowest = m, load
		}
	}
	return best
}

func (e *entry) firstToken(r *request) {
	if r.answered {
		e.result.stalls = append(e.result.stalls, e.clock.now.Sub(r.left))
		return
	}
	r.answered = true
	e.result.firstToken(r.arrived, e.clock.now.Sub(r.arrived))
}

func (e *entry) finished(r *request, m *machine, began time.Time) {
	e.meter.ObserveAnswer(e.clock.now, r.output)
	e.router.End(e.clock.now, m.spec.Name, route.Result{OK: true, Duration: e.clock.now.Sub(began)})
}

// pollLoads reads the engines' reports.
func (e *entry) pollLoads() {
	for _, m := range e.cloud.machines {
		if m.engine != nil {
			e.router.ObserveLoad(e.clock.now, m.spec.Name, m.engine.load())
		}
	}
}

// hostChanged tells the router and deals with the streams of a host that is taken.
func (e *entry) hostChanged(m *machine, phase fleet.Phase) {
	e.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: instanceName(m), Phase: phase})
	switch phase {
	case fleet.PhaseLeaving:
		if !m.deadline.IsZero() {
			e.result.hostLost(e.clock.now)
		}
		if !m.deadline.IsZero() && !e.variant.restart {
			e.move(m)
		}
	case fleet.PhaseGone:
		e.cut(m)
	}
}

// cut ends the engine; what still ran there starts again from its prompt.
func (e *entry) cut(m *machine) {
	m.engine.stopped = true
	for _, a := range slices.Clone(m.engine.open()) {
		r := a.request
		r.left = e.clock.now
		e.result.recomputed += float64(a.leave())
		e.result.cut++
		e.result.causes[causeCut]++
		e.router.End(e.clock.now, m.spec.Name, route.Result{})
		r.generated = 0
		r.transferred = false
		e.send(r, "")
	}
}
