package balancer

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/speed"
)

const (
	// speedRetention is how long after an endpoint of a fleet stated its slowness, endpoints are chosen by speed.
	speedRetention = 30 * time.Second
	// speedPicks is how many endpoints are picked at random and compared for a request.
	speedPicks = 3
	// overdueFactor is by how much longer than expected the oldest request may wait before its endpoint counts as slow.
	overdueFactor = 1.5
	// assumedTokenTime is the time between two tokens of an answer until it was observed.
	assumedTokenTime = 4 * time.Millisecond
	// tokenTimeWeight is the weight of the newest stream in the mean time between two tokens.
	tokenTimeWeight = 0.02
	// maxPausedStreams bounds the streams that count as delayed by a long prompt.
	maxPausedStreams = 8
	// randomCostShare is the part of the expected time by which costs vary at random.
	randomCostShare = 0.05
	// minAffinitySaving is the least time to compute a shared part of a prompt for which the endpoints are compared that
	// have it.
	minAffinitySaving = 5 * time.Millisecond
	// crowdedShare is the part of the expected time that is added if all slots of an endpoint are in use, since requests
	// slow each other down; it spreads them over endpoints of about equal speed.
	crowdedShare = 0.5
	// notablySlow is the slowness from which on endpoints are counted as slow.
	notablySlow = 1.5
	// maxMomentChange is the ratio between the expected slowness at the begin and the end of work above which nothing is
	// learnt from it: most of it may have run at either.
	maxMomentChange = 1.5
)

// speeds is what is known of the speed of a fleet's endpoints. The zero value is that of a fleet whose endpoints state
// nothing.
type speeds struct {
	statedAt    time.Time
	persistence speed.Persistence
	weights     speed.Weights
	// tokenTime is the mean time between two tokens of an answer at the usual speed; zero before the first.
	tokenTime time.Duration
}

// statesSpeed reports whether endpoints of the fleet have lately stated their slowness.
func (p *pool) statesSpeed(now time.Time) bool {
	return !p.speeds.statedAt.IsZero() && now.Sub(p.speeds.statedAt) < speedRetention
}

// slownessOf returns the factor by which the endpoint's work is expected to take longer, of work that begins now and
// takes some time as usual. It is that of the recent answers unless the endpoint states its slowness.
func (p *pool) slownessOf(now time.Time, e *endpoint, usual time.Duration) float64 {
	if !e.speed.Stated(now) {
		return e.factor(now)
	}
	return max(e.speed.At(now.Add(usual/2), &p.speeds.persistence), e.overdue(now))
}

// overdue returns the least slowness that the oldest request at the endpoint without an answer shows; zero if it is
// not late.
func (e *endpoint) overdue(now time.Time) float64 {
	a := e.waiting.first
	if a == nil || a.choice.usual <= 0 {
		return 0
	}
	waited := float64(now.Sub(a.sentAt)) / float64(a.choice.usual)
	if waited < overdueFactor*e.speed.Lasting() {
		return 0
	}
	return min(waited, maxSlowness)
}

// ObserveSlowdown records how long the endpoint states that work takes at this moment, 1 for as usual.
func (a *Attempt) ObserveSlowdown(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.endpoint != nil {
		a.pool.speeds.statedAt = now
		a.endpoint.speed.State(now, slowdown, &a.pool.speeds.persistence)
	}
}

// learnSpeed records how long the attempt took until the first event or, of a plain service, until the answer.
func (p *pool) learnSpeed(now time.Time, a *Attempt) {
	e, usual := a.endpoint, a.choice.usual
	if usual <= 0 || !e.speed.Stated(now) {
		return
	}
	moment := e.speed.Moment(now, &p.speeds.persistence)
	if change := moment / a.choice.MomentSlowness; change > maxMomentChange || change < 1/maxMomentChange {
		return
	}
	e.speed.Observe(ratio(now.Sub(a.sentAt), usual), moment)
}

// learnTokens records how long the events of a stream took after the first.
func (p *pool) learnTokens(now time.Time, a *Attempt) {
	e := a.endpoint
	if a.firstEventAt.IsZero() || a.request.OutputTokens <= 1 || !e.speed.Stated(now) {
		return
	}
	each := now.Sub(a.firstEventAt) / time.Duration(a.request.OutputTokens-1)
	usual := scaleDuration(each, 1/p.slownessOf(now, e, 0))
	if p.speeds.tokenTime == 0 {
		p.speeds.tokenTime = usual
	}
	p.speeds.tokenTime += time.Duration(float64(usual-p.speeds.tokenTime) * tokenTimeWeight)
}

// outputTime returns how long the events after the first take as usual.
func (p *pool) outputTime(tokens int) time.Duration {
	each := p.speeds.tokenTime
	if each == 0 {
		each = assumedTokenTime
	}
	return time.Duration(max(tokens-1, 0)) * each
}

// bestBySpeed returns the candidate with the lowest cost of some that are picked at random in proportion to their
// speed and, for a prompt with a shared part, of those that have it or will have it; false if it finds none.
func (p *pool) bestBySpeed(now time.Time, random uint64, r *Request, dataCentre string, hosts *backpressure.Hosts) (candidate, bool) {
	if p.speeds.weights.Outdated(now) {
		p.updateWeights(now)
	}
	var best candidate
	found := false
	affinity := affinityKey(r.Prefixes)
	source := p.anySource(now, random, r)
	limited := p.rejectionLimit.known(now)
	affinitySaving := time.Duration(0)
	if affinity != 0 {
		affinitySaving = prefillTime(r.Prefixes[len(r.Prefixes)-2].Tokens)
	}
	draws := rand.NewPCG(random, affinity)
	consider := func(e *endpoint) {
		c := candidate{endpoint: e, choice: p.estimate(now, e, r, &source)}
		if c.choice.Queued && limited {
			return
		}
		c.cost = p.costBySpeed(now, &c, r, dataCentre)
		c.cost += time.Duration(float64(draws.Uint64()>>11) / (1 << 53) * randomCostShare * float64(c.cost))
		if affinity != 0 {
			c.cost += min(affinitySaving, maxAffinityCost) * tieBreak(random, affinity, e) / maxAffinityCost
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	slowness := func(i int) float64 {
		e := p.ordered[i]
		if !p.eligible(now, e, r, hosts, false) {
			return 0
		}
		return p.slownessOf(now, e, 0)
	}
	for range speedPicks {
		if i, ok := p.speeds.weights.Pick(draws, len(p.ordered), slowness); ok {
			consider(p.ordered[i])
		}
	}
	if affinitySaving >= minAffinitySaving {
		p.considerHolders(now, random, r, hosts, consider)
	}
	return best, found
}

// considerHolders considers endpoints that have the shared part of a prompt cached, and those that its hash selects.
func (p *pool) considerHolders(now time.Time, random uint64, r *Request, hosts *backpressure.Hosts, consider func(*endpoint)) {
	shared := r.Prefixes[:len(r.Prefixes)-1]
	key := shared[len(shared)-1].Key
	considered := 0
	for _, e := range p.homes(key) {
		if considered < homeEndpoints && p.eligible(now, e, r, hosts, false) {
			consider(e)
			considered++
		}
	}
	list := p.holders.byKey[key]
	for n := range min(len(list), maxHolders) {
		e := list[(random+uint64(n))%uint64(len(list))]
		if p.eligible(now, e, r, hosts, false) && e.holds(shared) {
			consider(e)
		}
	}
}

// updateWeights works out the mean speed of the fleet.
func (p *pool) updateWeights(now time.Time) {
	sum, n := 0.0, 0
	for _, e := range p.ordered {
		if !e.known.Leaving && !e.ejected(now) {
			sum += 1 / p.slownessOf(now, e, 0)
			n++
		}
	}
	p.speeds.weights.Update(now, sum/float64(max(n, 1)))
}

// costBySpeed returns the expected time to the end of the answer, and the cost to others.
func (p *pool) costBySpeed(now time.Time, c *candidate, r *Request, dataCentre string) time.Duration {
	cost := c.choice.FirstEvent + p.penalty(now, c.endpoint, &c.choice, dataCentre)
	cost += c.choice.crowded(c.choice.FirstEvent)
	if !c.endpoint.model {
		return cost
	}
	output := p.outputTime(r.OutputTokens)
	output = scaleDuration(output, p.slownessOf(now.Add(c.choice.FirstEvent), c.endpoint, output))
	return cost + output + c.choice.crowded(output) + p.pauseCost(now, c, r)
}

// crowded returns what is added to a part of the expected time for the requests in flight.
func (c *Choice) crowded(d time.Duration) time.Duration {
	used := float64(c.InFlight) / float64(max(c.Endpoint.Slots, 1))
	return time.Duration(float64(d) * crowdedShare * min(used, 1))
}

// pauseCost returns the delay beyond the wanted pause between two events, summed over the streams at the endpoint: they
// wait while prompts are computed.
func (p *pool) pauseCost(now time.Time, c *candidate, r *Request) time.Duration {
	if r.EventGapTarget <= 0 || c.choice.InFlight == 0 {
		return 0
	}
	usual := prefillTime(c.choice.pendingTokens + c.choice.UncachedTokens)
	over := scaleDuration(usual, p.slownessOf(now, c.endpoint, usual)) - r.EventGapTarget
	return max(over, 0) * time.Duration(min(c.choice.InFlight, maxPausedStreams))
}

// SlowEndpoints returns how many endpoints that state their slowness are expected to take notably longer than usual now.
func (t *Table) SlowEndpoints(now time.Time) int {
	slow := 0
	for _, p := range t.all() {
		p.mu.Lock()
		for _, e := range p.ordered {
			if e.speed.Stated(now) && p.slownessOf(now, e, 0) >= notablySlow {
				slow++
			}
		}
		p.mu.Unlock()
	}
	return slow
}

// SpeedReport returns what to tell other hosts of the slowness of endpoints: of this host's group, or of all hosts; nil
// if there is nothing.
func (t *Table) SpeedReport(now time.Time, scope Scope) *speed.Report {
	var statements []speed.Statement
	for name, p := range t.all() {
		p.mu.Lock()
		if p.statesSpeed(now) {
			for _, e := range p.ordered {
				if s, ok := e.speed.Statement(now, name, e.known.ID, scope == ScopeAll); ok {
					statements = append(statements, s)
				}
			}
		}
		p.mu.Unlock()
	}
	return speed.NewReport(statements)
}

// ApplySpeedReport records the report of another host; follower tells whether it follows this one.
func (t *Table) ApplySpeedReport(now time.Time, r *speed.Report, follower bool) {
	if r == nil {
		return
	}
	pools := t.all()
	for _, s := range r.Endpoints[:min(len(r.Endpoints), speed.MaxReported)] {
		p := pools[s.Fleet]
		if p == nil {
			continue
		}
		p.mu.Lock()
		if e := p.endpoints[s.Endpoint]; e != nil && e.speed.Apply(now, s, follower) {
			p.speeds.statedAt = now
		}
		p.mu.Unlock()
	}
}
