package policybench

import (
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/route"
)

const (
	pollInterval  = 100 * time.Millisecond
	pollsPerRound = 3 // engines that each node polls in one round
	// cacheEventInterval is the time between two deliveries of cache events to a node, which
	// delays the events, and cacheEventLoss is the share of them that is lost.
	cacheEventInterval = 2 * time.Second
	cacheEventLoss     = 0.2
	// noticePropagation is the time within which every node receives a notice.
	noticePropagation = 2 * time.Second
)

// node is an entry host that runs the production code or a baseline.
type node struct {
	run        *run
	policy     policy
	limiter    *ratelimit.Limiter
	eventsSeen map[string]int // number of cache events processed, by engine
}

func (n *node) poll() {
	for _, endpoint := range n.policy.endpointsToPoll(n.now(), pollsPerRound) {
		e := n.run.engines[endpoint.Name]
		if !e.stopped {
			n.policy.observeLoad(n.now(), endpoint.Name, e.report)
		}
	}
}

func (n *node) observeCacheEvents() {
	for _, endpoint := range n.run.cfg.Endpoints {
		e := n.run.engines[endpoint.Name]
		var events []engine.CacheEvent
		for _, event := range e.cache.events[n.eventsSeen[endpoint.Name]:] {
			if n.run.random.Float64() >= cacheEventLoss {
				events = append(events, event)
			}
		}
		n.eventsSeen[endpoint.Name] = len(e.cache.events)
		n.policy.observeCache(endpoint.Name, events)
	}
}

func (n *node) now() time.Time { return n.run.clock.now }

// serve chooses an engine for a request, and sends the request to it or refuses it.
func (n *node) serve(r *request) {
	choice, err := n.policy.choose(n.now(), r)
	if err != nil {
		n.run.measured.refuse(r)
		return
	}
	decision := n.limiter.Admit(n.now(), ratelimit.Request{
		Organisation: r.organisation, Fleet: fleetName, Priority: choice.Priority,
		ExpectedFirstToken: choice.ExpectedFirstToken, ExpectedPrefill: choice.ExpectedPrefill,
		Deadline: r.arrived.Add(firstTokenTimeout),
	})
	if !decision.Admitted && !n.run.variant.NoAdmission {
		n.run.measured.refuse(r)
		return
	}
	n.limiter.RecordAttempt(n.now(), r.organisation, choice.Endpoint.Name)
	n.send(r, choice)
}

// send starts an attempt. Except in a closed loop, the caller gives up if there is no first token
// within firstTokenTimeout of the arrival.
func (n *node) send(r *request, choice route.Choice) {
	name := choice.Endpoint.Name
	e := n.run.engines[name]
	a := &attempt{request: r, priority: r.priority}
	a.onFirst = func() { n.first(r, e, name) }
	a.onDone = func() { n.done(r, e, name, a) }
	a.onFail = func(hostLost bool) { n.failed(r, name, a, hostLost) }
	n.policy.begin(name)
	n.run.measured.attempt(choice, n.run.hostPrice[name])
	e.submit(a)
	if r.hasFirst || n.run.scenario.ClosedLoop {
		return
	}
	n.run.clock.after(r.arrived.Add(firstTokenTimeout).Sub(n.now()), func() { n.timeOut(r, name, a) })
}

func (n *node) first(r *request, e *fakeEngine, name string) {
	if !r.hasFirst {
		r.hasFirst = true
		r.first = n.now().Sub(r.arrived)
	}
	n.observeChunkLoad(e, name)
}

// observeChunkLoad records the load report that a chunk of the answer carries.
func (n *node) observeChunkLoad(e *fakeEngine, name string) {
	if n.run.scenario.LoadOnChunks {
		n.policy.observeLoad(n.now(), name, e.report)
	}
}

func (n *node) done(r *request, e *fakeEngine, name string, a *attempt) {
	n.policy.end(n.now(), name, route.Result{OK: true, FirstToken: r.first, Duration: n.now().Sub(a.submittedAt)})
	n.limiter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.observeChunkLoad(e, name)
	n.run.measured.complete(r)
}

func (n *node) timeOut(r *request, name string, a *attempt) {
	if r.hasFirst || a.ended {
		return
	}
	a.cancel()
	n.policy.end(n.now(), name, route.Result{})
	n.limiter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.run.measured.late(r)
}

// failed retries a request on another engine, if there is one: always if its host was lost,
// otherwise within the retry budget.
func (n *node) failed(r *request, name string, a *attempt, hostLost bool) {
	n.policy.end(n.now(), name, route.Result{Failed: !hostLost})
	n.run.measured.failedAttempts++
	r.excluded = append(r.excluded, name)
	if !r.decoding.IsZero() {
		delivered := int(n.now().Sub(r.decoding) / n.run.site.TokenTime)
		r.generated = min(r.generated+delivered, r.outputTokens-1)
		r.decoding = time.Time{}
	}
	if hostLost || n.limiter.AllowRetry(n.now(), r.organisation, name) {
		choice, err := n.policy.choose(n.now(), r)
		if err == nil {
			n.send(r, choice)
			return
		}
	}
	n.limiter.Done(n.now(), ratelimit.Completion{Organisation: r.organisation, Fleet: fleetName})
	n.run.measured.fail(r)
}

func (n *node) notice(host string) {
	n.policy.setHostState(fleet.HostState{Host: host, Instance: "1", Phase: fleet.PhaseLeaving})
}
