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
	retryDelay   = 200 * time.Millisecond
)

// frontend accepts and routes requests. It uses one router for all entry nodes.
type frontend struct {
	clock *clock
	// arrivals generates the workload; rng is used for everything that depends on the policy.
	arrivals, rng *rand.Rand
	site          *Site
	variant       *Variant
	cloud         *fakeCloud
	router        *route.Router
	meter         *capacity.Meter
	result        *Result
}

func newFrontend(c *clock, seed uint64, s *Site, v *Variant, cloud *fakeCloud, result *Result) *frontend {
	e := &frontend{
		clock:    c,
		arrivals: rand.New(rand.NewPCG(seed, rngArrivals)),
		rng:      rand.New(rand.NewPCG(seed, rngRouting)),
		site:     s, variant: v, cloud: cloud, result: result,
		router: route.NewRouter(s.dataCentres[0].name), meter: capacity.NewMeter(s.fleet),
	}
	e.router.SetTable(route.Compile(s.configuration()))
	for _, m := range cloud.machines {
		e.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: "none", Phase: fleet.PhaseGone})
	}
	cloud.newEngine = func() *fakeEngine { return newEngine(c, s.class, e.firstToken) }
	return e
}

// arrive schedules the next arrival by thinning a Poisson process with the highest rate.
func (e *frontend) arrive() {
	highest := e.site.maxRate()
	e.clock.after(time.Duration(e.arrivals.ExpFloat64()/highest*float64(time.Second)), func() {
		e.arrive()
		since := max(e.clock.now.Sub(epoch), 0)
		if e.arrivals.Float64()*highest < e.site.rate(since) {
			e.admit(e.draw())
		}
	})
}

func (e *frontend) draw() *request {
	return &request{
		arrived: e.clock.now,
		node:    e.arrivals.IntN(entryNodes),
		prompt:  int(e.logNormal(e.site.promptTokens, e.site.promptSigma)),
		output:  max(min(int(e.logNormal(e.site.outputTokens, e.site.outputSigma)), e.site.maxTokens), 1),
	}
}

// logNormal draws from the log-normal distribution with the given mean and sigma.
func (e *frontend) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*e.arrivals.NormFloat64()-sigma*sigma/2)
}

func (e *frontend) admit(r *request) {
	e.meter.ObserveRequest(e.clock.now, r.prompt)
	e.send(r, "")
}

// send submits the request to the named host if that is ready, and otherwise to the policy's
// choice. If there is none, it tries again after retryDelay.
func (e *frontend) send(r *request, target string) {
	m := e.cloud.byName[target]
	if m == nil || m.phase != capacity.PhaseReady {
		r.transferred = false
		m = e.choose(r)
	}
	if m == nil {
		e.clock.after(retryDelay, func() { e.send(r, "") })
		return
	}
	began := e.clock.now
	e.router.Begin(m.spec.Name)
	m.engine.submit(r, func() { e.finished(r, m, began) })
}

func (e *frontend) choose(r *request) *machine {
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

// leastLoaded returns the ready host with the lowest load; the baseline gets the exact load.
func (e *frontend) leastLoaded() *machine {
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

func (e *frontend) firstToken(r *request) {
	if r.answered {
		e.result.stalls = append(e.result.stalls, e.clock.now.Sub(r.leftAt))
		return
	}
	r.answered = true
	e.result.firstToken(r.arrived, e.clock.now.Sub(r.arrived))
}

func (e *frontend) finished(r *request, m *machine, began time.Time) {
	e.meter.ObserveAnswer(e.clock.now, r.output)
	e.router.End(e.clock.now, m.spec.Name, route.Result{OK: true, Duration: e.clock.now.Sub(began)})
}

// pollLoads passes the load reports of all engines to the router.
func (e *frontend) pollLoads() {
	for _, m := range e.cloud.machines {
		if m.engine != nil {
			e.router.ObserveLoad(e.clock.now, m.spec.Name, m.engine.load())
		}
	}
}

// hostChanged passes the phase of a host to the router and moves or restarts the streams of a
// reclaimed host.
func (e *frontend) hostChanged(m *machine, phase fleet.Phase) {
	e.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: instanceName(m), Phase: phase})
	switch phase {
	case fleet.PhaseLeaving:
		if !m.deadline.IsZero() {
			e.result.recordHostLost(e.clock.now)
		}
		if !m.deadline.IsZero() && !e.variant.restart {
			e.move(m)
		}
	case fleet.PhaseGone:
		e.cut(m)
	}
}

// cut ends the engine. Streams that still ran there start again from their prompts.
func (e *frontend) cut(m *machine) {
	m.engine.stopped = true
	for _, a := range slices.Clone(m.engine.activeAttempts()) {
		r := a.request
		r.leftAt = e.clock.now
		e.result.recomputed += float64(a.leave())
		e.result.cut++
		e.result.causes[causeEngineStopped]++
		e.router.End(e.clock.now, m.spec.Name, route.Result{})
		r.generated = 0
		r.transferred = false
		e.send(r, "")
	}
}
