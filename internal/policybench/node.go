package policybench

import (
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/route"
)

const (
	pollEvery  = 100 * time.Millisecond
	pollBudget = 3 // engines each node polls in one round
	// cacheEventEvery and cacheEventLoss: cache events come late and with gaps.
	cacheEventEvery = 2 * time.Second
	cacheEventLoss  = 0.2
	// noticeSpread is how long it takes until the last node has heard a notice.
	noticeSpread = 2 * time.Second
)

// node is an entry host with the production code, or a baseline in its place.
type node struct {
	run      *run
	policy   policy
	admitter *ratelimit.Limiter
	seen     map[string]int // cache events taken in, by engine
}

func (n *node) poll() {
	for _, endpoint := range n.policy.stale(n.now(), pollBudget) {
		e := n.run.engines[endpoint.Name]
		if !e.stopped {
			n.policy.observeLoad(n.now(), endpoint.Name, e.report)
		}
	}
}

func (n *node) takeCacheEvents() {
	for _, endpoint := range n.run.cfg.Endpoints {
		e := n.run.engines[endpoint.Name]
		var events []engine.CacheEvent
		for _, event := range e.cache.events[n.seen[endpoint.Name]:] {
			if n.run.random.Float64() >= cacheEventLoss {
				events = append(events, event)
			}
		}
		n.seen[endpoint.Name] = len(e.cache.events)
		n.policy.observeCache(endpoint.Name, events)
	}
}

func (n *node) now() time.Time { return n.run.clock.now }

// serve takes a caller's request or turns it away.
func (n *node) serve(r *request) {
	choice, err := n.policy.choose(n.now(), r)
	if err != nil {
		n.run.measured.refuse(r)
		return
	}
	decision := n.admitter.Admit(n.now(), ratelimit.Request{
		Organisation: r.organisation, Fleet: fleetName, Priority: choice.Priority,
		ExpectedFirstToken: choice.ExpectedFirstToken, ExpectedPrefill: choice.ExpectedPrefill,
		Deadline: r.arrived.Add(patience),
	})
	if !decision.Admitted && !n.run.variant.NoAdmission {
		n.run.measured.refuse(r)
		return
	}
	n.admitter.RecordAttempt(n.now(), r.organisation, choice.Endpoint.Name)
	n.send(r, choice)
}

// send starts an attempt. A caller waits for the first token only so long.
func (n *node) send(r *request, choice route.Choice) {
	name := choice.Endpoint.Name
	e := n.run.engines[name]
	a := &attempt{request: r, priority: r.priority}
	a.onFirst = func() { n.first(r, e, name) }
	a.onDone = func() { n.done(r, e, name, a) }
	a.onFail = func(cut bool) { n.failed(r, name, a, cut) }
	n.policy.begin(name)
	n.run.measured.attempt(choice, n.run.price[name])
	e.submit(a)
	if r.hasFirst || n.run.scenario.Closed {
		return
	}
	n.run.clock.after(r.arrived.Add(patience).Sub(n.now()), func() { n.giveUp(r, name, a) })
}

func (n *node) first(r *request, e *fakeEngine, name string) {
	if !r.hasFirst {
		r.hasFirst = true
		r.first = n.now().Sub(r.arrived)
	}
	n.reported(e, name)
}

// reported takes in the load that a chunk carries.
func (n *node) reported(e *fakeEngine, name string) {
	if n.run.scenario.LoadOnChunks {
		n.policy.observeLoad(n.now(), name, e.report)
	}
}

func (n *node) done(r *request, e *fakeEngine, name string, a *attempt) {
	n.policy.end(n.now(), name, route.Result{OK: true, FirstToken: r.first, Duration: n.now().Sub(a.began)})
	n.admitter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.reported(e, name)
	n.run.measured.complete(r)
}

func (n *node) giveUp(r *request, name string, a *attempt) {
	if r.hasFirst || a.ended {
		return
	}
	a.cancel()
	n.policy.end(n.now(), name, route.Result{})
	n.admitter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.run.measured.late(r)
}

// failed sends a request on to another engine: always when its host was taken away,
// else within the retry budget.
func (n *node) failed(r *request, name string, a *attempt, cut bool) {
	n.policy.end(n.now(), name, route.Result{Failed: !cut})
	n.run.measured.failedAttempts++
	r.excluded = append(r.excluded, name)
	if !r.decoding.IsZero() {
		delivered := int(n.now().Sub(r.decoding) / n.run.site.TokenTime)
		r.generated = min(r.generated+delivered, r.outputTokens-1)
		r.decoding = time.Time{}
	}
	if cut || n.admitter.AllowRetry(n.now(), r.organisation, name) {
		choice, err := n.policy.choose(n.now(), r)
		if err == nil {
			n.send(r, choice)
			return
		}
	}
	n.admitter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.run.measured.fail(r)
}

func (n *node) notice(host string) {
	n.policy.setHostState(fleet.HostState{Host: host, Instance: "1", Phase: fleet.PhaseLeaving})
}
