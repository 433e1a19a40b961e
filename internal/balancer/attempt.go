package balancer

import (
	"errors"
	"time"

	"rattanchute/internal/backpressure"
)

// Attempt is one request at one endpoint, from the time it is sent until it ends.
type Attempt struct {
	pool          *pool
	endpoint      *endpoint
	request       Request
	choice        Choice
	sentAt        time.Time
	pendingTokens int
	memoryTokens  int
	answered      bool
	ended         bool
	firstEventAt  time.Time
	// before and after are the neighbours in the endpoint's list of waiting attempts.
	before, after *Attempt
	// signals and instance are those of the chosen endpoint, even if it is no longer in the table.
	signals  *backpressure.Table
	instance backpressure.Instance
	permit   *backpressure.Permit
	// noPlace is set if this host may have no more requests in progress at the endpoint, whose fleet has a
	// rejection limit.
	noPlace bool
	// sent is set once the request may be sent.
	sent bool
}

// Begin counts a request as in flight at the chosen endpoint. An engine is from now on assumed
// to have the prompt cached. If the endpoint is no longer in the table, nothing is counted.
func (t *Table) Begin(now time.Time, r Request, c Choice) *Attempt {
	p := t.pool(r.Fleet)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &Attempt{pool: p, request: r, choice: c, sentAt: now, signals: t.signals, instance: InstanceOf(&c.Endpoint.Endpoint)}
	e := p.endpoints[c.Endpoint.ID]
	if e == nil {
		return a
	}
	if !p.hasPlace(now, e, t.signals.Hosts()) {
		a.noPlace = true
		return a
	}
	a.endpoint = e
	e.inFlight++
	e.waiting.add(a)
	if e.model {
		a.pendingTokens = c.UncachedTokens
		a.memoryTokens = r.PromptTokens + r.OutputTokens
		e.pendingTokens += a.pendingTokens
		e.memoryTokens += a.memoryTokens
		e.cache.touch(r.Prefixes)
	}
	return a
}

// Permit asks, immediately before the request is sent, whether the endpoint still accepts requests: it
// may have closed itself or begun to leave since it was chosen. It reports whether this is the first
// request after the endpoint was closed.
func (a *Attempt) Permit(now time.Time) (first bool, err error) {
	if a.noPlace {
		return false, ErrEndpointFull
	}
	permit, verdict := a.signals.Endpoint(a.instance).Acquire(now)
	switch {
	case permit != nil:
		a.permit, a.sent = permit, true
		return permit.First, nil
	case verdict.Leaving:
		return false, ErrEndpointLeaving
	}
	return false, ErrEndpointClosed
}

// ErrEndpointLeaving and ErrEndpointClosed mean that a request was not sent because of what its endpoint
// had said in a response.
var (
	ErrEndpointLeaving = errors.New("endpoint is leaving")
	ErrEndpointClosed  = errors.New("endpoint is closed for some time")
	// ErrEndpointFull means that this host has used its part of the slots of an endpoint with a rejection
	// limit.
	ErrEndpointFull = errors.New("no slot of the endpoint is left for this host")
)

// EndpointLeaves reports whether the endpoint has said that it leaves, or is no longer listed.
func (a *Attempt) EndpointLeaves(now time.Time) bool {
	if a.signals.Endpoint(a.instance).Verdict(now).Leaving {
		return true
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	e := a.pool.endpoints[a.choice.Endpoint.ID]
	return e == nil || e.known.Leaving
}

// ObserveSignal records what the response of the endpoint says about further requests. The random
// number, from 0 to 1, is the jitter of a pause.
func (a *Attempt) ObserveSignal(now time.Time, random float64, s backpressure.Signal) backpressure.Change {
	change := a.signals.Observe(now, random, a.instance, s)
	if s.RetryAfter <= 0 && a.permit != nil {
		a.permit.Answered()
	}
	return change
}

// ObserveLimit records what a response of the endpoint to this attempt says about its rate limit, and reports
// whether the limit is another one now.
func (a *Attempt) ObserveLimit(now time.Time, l backpressure.Limit) bool {
	return a.signals.ObserveLimit(now, a.sentAt, a.instance, l)
}

// FirstEvent records that the first event of a stream has arrived.
func (a *Attempt) FirstEvent(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.clearPending()
	a.firstEventAt = now
	if a.endpoint != nil && a.endpoint.model {
		a.pool.learnSpeed(now, a)
		measured := ratio(now.Sub(a.sentAt), a.choice.FirstEvent)
		a.endpoint.observe(now, measured)
		a.pool.firstEventSlowness.observe(now, measured)
	}
}

// ObserveLoad records the number of requests that the endpoint reports to have.
func (a *Attempt) ObserveLoad(now time.Time, requests int) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.endpoint != nil {
		a.endpoint.reportedRequests, a.endpoint.reportedAt = requests, now
	}
}

// Compare ignores load reports that are reportMaxAge old or older.
const reportMaxAge = time.Second

// Compare returns, over the endpoints that have reported their load recently, the number of
// requests estimated to be in flight and the number reported.
func (t *Table) Compare(now time.Time) (estimated, reportedRequests int) {
	for _, p := range t.all() {
		p.mu.Lock()
		for _, e := range p.ordered {
			if now.Sub(e.reportedAt) < reportMaxAge {
				estimated += e.load(now, ScopeAll).inFlight
				reportedRequests += e.reportedRequests
			}
		}
		p.mu.Unlock()
	}
	return estimated, reportedRequests
}

// clearPending removes the prompt from the endpoint's pending tokens, once.
func (a *Attempt) clearPending() {
	if a.answered {
		return
	}
	a.answered = true
	if a.endpoint != nil {
		a.endpoint.pendingTokens -= a.pendingTokens
		a.endpoint.waiting.remove(a)
	}
}

func ratio(measured, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(measured) / float64(expected)
}

// HealthChange is how the end of an attempt changed the health of its endpoint.
type HealthChange struct {
	// EjectedFor is how long the endpoint is ejected from now on; zero if this attempt did not
	// eject it.
	EjectedFor time.Duration
	// Recovered means that the endpoint was ejected before and has now answered successfully.
	Recovered bool
	// FailureRate is the endpoint's moving average of failed attempts, from 0 to 1. Attempts that
	// were cancelled or refused, or found the address reused, do not change it.
	FailureRate float64
}

// End records how the attempt ended. Later calls have no effect and return the zero value.
func (a *Attempt) End(now time.Time, result Result) HealthChange {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.ended {
		return HealthChange{}
	}
	a.ended = true
	if a.permit != nil {
		a.permit.Release()
	}
	a.clearPending()
	e := a.endpoint
	if e == nil {
		return HealthChange{}
	}
	e.inFlight--
	e.memoryTokens -= a.memoryTokens
	if result == ResultRefused && a.sent {
		p.rejected(now, e, a.signals.Hosts())
	}
	before, until := e.awaitingRecovery, e.ejectedUntil
	p.updateHealth(now, e, a, result)
	change := HealthChange{Recovered: before && !e.awaitingRecovery, FailureRate: e.failureRate}
	if e.ejectedUntil != until {
		change.EjectedFor = e.ejectedUntil.Sub(now)
	}
	return change
}

// updateHealth updates the health of the endpoint and the averages of its pool from the result
// of an attempt.
func (p *pool) updateHealth(now time.Time, e *endpoint, a *Attempt, result Result) {
	switch result {
	case ResultCancelled, ResultRefused:
	case ResultOK:
		e.recordSuccess()
		e.awaitingRecovery = false
		p.failureRate *= 1 - failureWeight/float64(max(len(p.ordered), 1))
		p.observeDuration(now, e, a)
	case ResultAddressReused:
		e.eject(now)
	case ResultUnreachable:
		e.recordFailure(p.failureRate)
		e.eject(now)
	default:
		p.failureRate += (1 - p.failureRate) * failureWeight / float64(max(len(p.ordered), 1))
		if e.recordFailure(p.failureRate) && p.mayEject(now) {
			e.eject(now)
		}
	}
}

// mayEject reports whether one more endpoint may be ejected because of failed requests: part of
// the pool stays in use however many requests fail.
func (p *pool) mayEject(now time.Time) bool {
	ejected := 0
	for _, e := range p.ordered {
		if e.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(len(p.ordered))
}

// durationWeight is the weight of the newest successful answer in a fleet's mean duration.
const durationWeight = 0.05

func (p *pool) observeDuration(now time.Time, e *endpoint, a *Attempt) {
	d := now.Sub(a.sentAt)
	if !e.model {
		e.observe(now, ratio(d, p.meanDuration))
		p.learnSpeed(now, a)
	}
	p.learnTokens(now, a)
	if e.speed.Stated(now) {
		d = scaleDuration(d, 1/e.speed.Moment(now, &p.speeds.persistence))
	}
	p.meanDuration += time.Duration(float64(d-p.meanDuration) * durationWeight)
}
