package balancer

import "time"

// Attempt is one request at one endpoint, from its sending to its end.
type Attempt struct {
	group    *group
	endpoint *endpoint
	request  Request
	choice   Choice
	sentAt   time.Time
	pending  int
	memory   int
	answered bool
	ended    bool
}

// Begin counts a request as in flight at the chosen endpoint.
func (t *Table) Begin(now time.Time, r Request, c Choice) *Attempt {
	g := t.group(r.Fleet)
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &Attempt{group: g, request: r, choice: c, sentAt: now}
	e := g.endpoints[c.Endpoint.ID]
	if e == nil {
		return a
	}
	a.endpoint = e
	e.inFlight++
	if e.model {
		a.pending = c.UncachedTokens
		a.memory = r.PromptTokens + r.OutputTokens
		e.pending += a.pending
		e.memory += a.memory
		e.cache.use(now, r.Prefixes)
	}
	return a
}

// FirstEvent notes that a stream's first event has come.
func (a *Attempt) FirstEvent(now time.Time) {
	a.group.mu.Lock()
	defer a.group.mu.Unlock()
	a.answer()
	if a.endpoint != nil && a.endpoint.model {
		seen := ratio(now.Sub(a.sentAt), a.choice.FirstEvent)
		a.endpoint.observe(now, seen)
		a.group.pace.observe(now, seen)
	}
}

// ObserveLoad notes the number of requests that the endpoint says it has.
func (a *Attempt) ObserveLoad(now time.Time, requests int) {
	a.group.mu.Lock()
	defer a.group.mu.Unlock()
	if a.endpoint != nil {
		a.endpoint.reported, a.endpoint.reportedAt = requests, now
	}
}

// reportMaxAge is how long what an endpoint told of its load is compared with.
const reportMaxAge = time.Second

// Compare sums the requests that are believed to be at the endpoints which lately told their
// load, and what they told.
func (t *Table) Compare(now time.Time) (believed, reported int) {
	for _, g := range t.all() {
		g.mu.Lock()
		for _, e := range g.ordered {
			if now.Sub(e.reportedAt) < reportMaxAge {
				believed += e.load(now, ScopeAll).inFlight
				reported += e.reported
			}
		}
		g.mu.Unlock()
	}
	return believed, reported
}

// answer takes the prompt off the endpoint's backlog, once.
func (a *Attempt) answer() {
	if a.answered {
		return
	}
	a.answered = true
	if a.endpoint != nil {
		a.endpoint.pending -= a.pending
	}
}

func ratio(seen, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(seen) / float64(expected)
}

// HealthChange is what an attempt's end changed in the belief about its endpoint.
type HealthChange struct {
	// EjectedFor is how long the endpoint takes no requests from now on; zero if it goes on.
	EjectedFor time.Duration
	// Recovered: an endpoint that was set aside has answered well.
	Recovered bool
	// FailureRate is that of the endpoint's newest attempts, 0 to 1.
	FailureRate float64
}

// End notes how the attempt ended; only the first call counts.
func (a *Attempt) End(now time.Time, result Result) HealthChange {
	g := a.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.ended {
		return HealthChange{}
	}
	a.ended = true
	a.answer()
	e := a.endpoint
	if e == nil {
		return HealthChange{}
	}
	e.inFlight--
	e.memory -= a.memory
	before, until := e.setAside, e.avoidUntil
	g.judge(now, e, a, result)
	j := HealthChange{Recovered: before && !e.setAside, FailureRate: e.failureRate}
	if e.avoidUntil != until {
		j.EjectedFor = e.avoidUntil.Sub(now)
	}
	return j
}

// judge learns from how an attempt ended.
func (g *group) judge(now time.Time, e *endpoint, a *Attempt, result Result) {
	switch result {
	case ResultCancelled, ResultRefused:
	case ResultOK:
		e.succeed()
		e.setAside = false
		g.failureRate *= 1 - failureWeight/float64(max(len(g.ordered), 1))
		g.observeDuration(now, e, now.Sub(a.sentAt))
	case ResultAddressReused:
		e.avoid(now)
	case ResultUnreachable:
		e.fail(g.failureRate)
		e.avoid(now)
	default:
		g.failureRate += (1 - g.failureRate) * failureWeight / float64(max(len(g.ordered), 1))
		if e.fail(g.failureRate) && g.mayAvoid(now) {
			e.avoid(now)
		}
	}
}

// mayAvoid keeps a part of the fleet in use whatever fails.
func (g *group) mayAvoid(now time.Time) bool {
	avoided := 0
	for _, e := range g.ordered {
		if e.avoided(now) {
			avoided++
		}
	}
	return float64(avoided+1) <= maxAvoidedShare*float64(len(g.ordered))
}

// durationWeight is the weight of the newest answer in the mean duration.
const durationWeight = 0.05

func (g *group) observeDuration(now time.Time, e *endpoint, d time.Duration) {
	if !e.model {
		e.observe(now, ratio(d, g.meanDuration))
	}
	g.meanDuration += time.Duration(float64(d-g.meanDuration) * durationWeight)
}
