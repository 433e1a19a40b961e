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
	f := &frontend{
		clock:    c,
		arrivals: rand.New(rand.NewPCG(seed, rngArrivals)),
		rng:      rand.New(rand.NewPCG(seed, rngRouting)),
		site:     s, variant: v, cloud: cloud, result: result,
		router: route.NewRouter(s.dataCentres[0].name), meter: capacity.NewMeter(s.fleet),
	}
	f.router.SetTable(route.Compile(s.configuration()))
	for _, m := range cloud.machines {
		f.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: "none", Phase: fleet.PhaseGone})
	}
	cloud.newEngine = func() *fakeEngine { return newEngine(c, s.class, f.firstToken) }
	return f
}

// arrive schedules the next arrival by thinning a Poisson process with the highest rate.
func (f *frontend) arrive() {
	highest := f.site.maxRate()
	f.clock.after(time.Duration(f.arrivals.ExpFloat64()/highest*float64(time.Second)), func() {
		f.arrive()
		since := max(f.clock.now.Sub(epoch), 0)
		if f.arrivals.Float64()*highest < f.site.rate(since) {
			f.admit(f.draw())
		}
	})
}

func (f *frontend) draw() *request {
	return &request{
		arrived: f.clock.now,
		node:    f.arrivals.IntN(entryNodes),
		prompt:  int(f.logNormal(f.site.promptTokens, f.site.promptSigma)),
		output:  max(min(int(f.logNormal(f.site.outputTokens, f.site.outputSigma)), f.site.maxTokens), 1),
	}
}

// logNormal draws from the log-normal distribution with the given mean and sigma.
func (f *frontend) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*f.arrivals.NormFloat64()-sigma*sigma/2)
}

func (f *frontend) admit(r *request) {
	f.meter.ObserveRequest(f.clock.now, r.prompt)
	f.send(r, "")
}

// send submits the request to the named host if that is ready, and otherwise to the policy's
// choice. If there is none, it tries again after retryDelay.
func (f *frontend) send(r *request, target string) {
	m := f.cloud.byName[target]
	if m == nil || m.phase != capacity.PhaseReady {
		r.transferred = false
		m = f.choose(r)
	}
	if m == nil {
		f.clock.after(retryDelay, func() { f.send(r, "") })
		return
	}
	began := f.clock.now
	f.router.Begin(m.spec.Name)
	m.engine.submit(r, func() { f.finished(r, m, began) })
}

func (f *frontend) choose(r *request) *machine {
	if f.variant.leastLoaded {
		return f.leastLoaded()
	}
	choice, err := f.router.Choose(f.clock.now, f.rng.Uint64(), route.Query{
		Organisation: organisation, Fleet: f.site.fleet,
		PromptTokens: r.prompt, MaxTokens: f.site.maxTokens,
	})
	if err != nil {
		return nil
	}
	return f.cloud.byName[choice.Endpoint.Name]
}

// leastLoaded returns the ready host with the lowest load; the baseline gets the exact load.
func (f *frontend) leastLoaded() *machine {
	var best *machine
	lowest := math.MaxInt
	for _, m := range f.cloud.machines {
		if m.phase != capacity.PhaseReady {
			continue
		}
		if load := len(m.engine.streams); load < lowest {
			best, lowest = m, load
		}
	}
	return best
}

func (f *frontend) firstToken(r *request) {
	if r.answered {
		f.result.stalls = append(f.result.stalls, f.clock.now.Sub(r.leftAt))
		return
	}
	r.answered = true
	f.result.firstToken(r.arrived, f.clock.now.Sub(r.arrived))
}

func (f *frontend) finished(r *request, m *machine, began time.Time) {
	f.meter.ObserveAnswer(f.clock.now, r.output)
	f.router.End(f.clock.now, m.spec.Name, route.Result{OK: true, Duration: f.clock.now.Sub(began)})
}

// pollLoads passes the load reports of all engines to the router.
func (f *frontend) pollLoads() {
	for _, m := range f.cloud.machines {
		if m.engine != nil {
			f.router.ObserveLoad(f.clock.now, m.spec.Name, m.engine.load())
		}
	}
}

// hostChanged passes the phase of a host to the router and moves or restarts the streams of a
// reclaimed host.
func (f *frontend) hostChanged(m *machine, phase fleet.Phase) {
	f.router.SetHostState(fleet.HostState{Host: m.spec.Name, Instance: instanceName(m), Phase: phase})
	switch phase {
	case fleet.PhaseLeaving:
		if !m.deadline.IsZero() {
			f.result.recordHostLost(f.clock.now)
		}
		if !m.deadline.IsZero() && !f.variant.restart {
			f.move(m)
		}
	case fleet.PhaseGone:
		f.cut(m)
	}
}

// cut ends the engine. The running and queued streams on it start again from their prompts.
func (f *frontend) cut(m *machine) {
	m.engine.stopped = true
	for _, a := range slices.Clone(m.engine.activeAttempts()) {
		r := a.request
		r.leftAt = f.clock.now
		f.result.recomputed += float64(a.leave())
		f.result.cut++
		f.result.causes[causeEngineStopped]++
		f.router.End(f.clock.now, m.spec.Name, route.Result{})
		r.generated = 0
		r.transferred = false
		f.send(r, "")
	}
}
