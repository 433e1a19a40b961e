package route

import (
	"math"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// FirstTokenTarget is the time to first token that requests are meant to meet.
	FirstTokenTarget = 470 * time.Millisecond
	// priceTieWindow is the largest difference between two expected times to first token at
	// which the lower price decides.
	priceTieWindow = FirstTokenTarget / 10
	// loadFactor bounds the load of an endpoint that is chosen by affinity to a multiple of the
	// mean load, unless minBoundShare allows more. The number of endpoints for a popular prefix
	// contains the same reserve.
	loadFactor = 1.25
	// minBoundShare is the lower limit of the load bound, as a share of the endpoint's slots.
	// Below this limit no request queues, whatever the mean load is.
	minBoundShare = 0.75
	// affinityRanks is the largest number of endpoints that a ranking holds.
	affinityRanks = 8
	// maxDraws is the number of random draws after which a scan of all endpoints looks for an
	// eligible one.
	maxDraws = 8
)

// Query is what a choice depends on.
type Query struct {
	Organisation string
	Fleet        string
	// PrefixHashes are the hashes of ever longer prefixes of the prompt, the shortest first.
	PrefixHashes []uint64
	// PrefixTokens are the lengths of these prefixes in tokens. A prefix without an entry is
	// assumed to end at an even division of the prompt.
	PrefixTokens []int
	PromptTokens int
	MaxTokens    int
	// Exclude names endpoints that must not be chosen, such as those that were already tried.
	Exclude []string
	// Version restricts the choice to endpoints with this software; nil for any.
	Version *string
}

// allowsVersion reports whether the query allows endpoints with a version.
func (q *Query) allowsVersion(version string) bool { return q.Version == nil || *q.Version == version }

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint fleet.Endpoint
	// Priority is the highest priority of the selectors that allow the endpoint.
	Priority           int
	ExpectedFirstToken time.Duration
	// ExpectedPrefill is the part of ExpectedFirstToken that computing the prompt and the
	// network round trip take, without waiting.
	ExpectedPrefill time.Duration
}

// Choose selects the endpoint for a request and records the prompt's prefixes as cached by that
// endpoint. The random word decides all random draws. The error is ErrNoSelector or
// ErrNoEndpoint.
func (r *Router) Choose(now time.Time, random uint64, q Query) (Choice, error) {
	list := r.view.Load().lists[listKey{q.Organisation, q.Fleet}]
	if list == nil {
		return Choice{}, ErrNoSelector
	}
	list.observePrompt(q.PromptTokens)
	list.popularity.observe(now, q.PrefixHashes)
	d := r.decision(now, random, &q, list)
	d.forRequest = true
	best := d.decide()
	if best.index < 0 {
		return Choice{}, ErrNoEndpoint
	}
	t := list.targets[best.index]
	for _, prefix := range q.PrefixHashes {
		r.cache.add(prefix, t.info.hash)
	}
	return d.choice(best), nil
}

// decision is one run of the selection policy. Choose and Explain share it.
type decision struct {
	now    time.Time
	random uint64
	query  *Query
	list   *liveList
	// The following are parts of the router and of the list that are read often.
	popularity *popularity
	cache      *cacheIndex
	mean       float64
	// forRequest is set by Choose: the endpoints that are evaluated are then marked as in use
	// for load polling.
	forRequest bool
	disabled   Mechanism
	// trace, if not nil, records the endpoints that were evaluated, and which of them were not
	// below their load bound.
	trace *trace
}

func (r *Router) decision(now time.Time, random uint64, query *Query, list *liveList) decision {
	return decision{
		now: now, random: random, query: query, list: list, disabled: r.disabled,
		popularity: list.popularity, cache: r.cache, mean: list.mean.refresh(now, list.targets),
	}
}

// option is an evaluated endpoint; index -1 means none.
type option struct {
	index    int
	expected time.Duration
	// prefill includes the network round trip.
	prefill time.Duration
	load    float64
}

// cost is the expected time to first token plus the prefill time once more. The second term
// represents the delay that the prefill causes to the prompts of other requests.
func (o option) cost() time.Duration { return o.expected + o.prefill }

var noOption = option{index: -1}

func (d *decision) choice(o option) Choice {
	return Choice{
		Endpoint:           d.list.targets[o.index].info.endpoint,
		Priority:           d.list.priority[o.index],
		ExpectedFirstToken: o.expected,
		ExpectedPrefill:    o.prefill,
	}
}

// decide returns the affinity choice if its expected time to first token meets the target.
// Otherwise it returns the one with the lower cost of the affinity choice and the better of two
// random endpoints; noOption if there is neither.
func (d *decision) decide() option {
	affine := d.affinity()
	if affine.index >= 0 && affine.expected <= FirstTokenTarget {
		return affine
	}
	random := d.twoChoices()
	if affine.index < 0 || (random.index >= 0 && random.cost() < affine.cost()) {
		return random
	}
	return affine
}

func (d *decision) eligible(index int) bool {
	t := d.list.targets[index]
	return t.available(d.now) && !t.excluded(d.query.Exclude) && d.query.allowsVersion(t.info.endpoint.Version)
}

func (d *decision) evaluate(index int) option {
	t := d.list.targets[index]
	if d.forRequest {
		t.state.loadUsed.Store(d.now.UnixNano())
	}
	e := t.state.estimate(d.now, d.mean, t.info.slots, d.list.meanPrompt())
	tokens := float64(d.query.PromptTokens - d.cached(t.info.hash))
	prefill := e.prefill(tokens) + t.rtt
	penalty := time.Duration(t.state.failures.Load()) * failurePenalty
	expected := e.wait(t.state.meanDuration()) + prefill + penalty
	o := option{index: index, expected: expected, prefill: prefill, load: e.requests}
	d.trace.evaluated(o)
	return o
}

// cached returns the length in tokens of the longest prefix that the endpoint is assumed to
// have cached.
func (d *decision) cached(endpoint uint64) int {
	for level := len(d.query.PrefixHashes) - 1; level >= 0; level-- {
		if d.cache.holds(d.query.PrefixHashes[level], endpoint) {
			return d.query.prefixTokens(level)
		}
	}
	return 0
}

func (q *Query) prefixTokens(level int) int {
	if level < len(q.PrefixTokens) {
		return min(q.PrefixTokens[level], q.PromptTokens)
	}
	return q.PromptTokens * (level + 1) / len(q.PrefixHashes)
}

// bound returns the load below which an endpoint with so many slots may be chosen by affinity.
func (d *decision) bound(slots int) float64 {
	const rounding = 1e-9
	n := float64(len(d.list.targets))
	return max(math.Ceil(loadFactor*(d.mean+1/n)-rounding), minBoundShare*float64(slots))
}

// twoChoices evaluates two random eligible endpoints and returns the better one. With
// MechanismTwoChoices disabled, or if only one is eligible, it evaluates only one; if none is, it
// returns noOption.
func (d *decision) twoChoices() option {
	first := d.draw(d.random, -1)
	if first < 0 {
		return noOption
	}
	if d.disabled.has(MechanismTwoChoices) {
		return d.evaluate(first)
	}
	second := d.draw(mix(d.random+1), first)
	if second < 0 {
		return d.evaluate(first)
	}
	return d.better(d.evaluate(first), d.evaluate(second))
}

// draw returns a random eligible endpoint other than the given one, -1 if there is none.
func (d *decision) draw(word uint64, other int) int {
	n := len(d.list.targets)
	for range maxDraws {
		word = mix(word + 1)
		index := randomIndex(word, n)
		if index != other && d.eligible(index) {
			return index
		}
	}
	return d.drawAmongEligible(word, other)
}

// drawAmongEligible picks one of all eligible endpoints with equal probability, by reservoir
// sampling. Taking the next eligible one after a random position would overload an endpoint
// that follows a run of stopped ones.
func (d *decision) drawAmongEligible(word uint64, other int) int {
	chosen, seen := -1, 0
	for index := range d.list.targets {
		if index == other || !d.eligible(index) {
			continue
		}
		seen++
		word = mix(word + 1)
		if randomIndex(word, seen) == 0 {
			chosen = index
		}
	}
	return chosen
}

// better returns the option with the lower cost or, at equal costs, with the lower load. If both
// meet the target and their expected times differ by at most priceTieWindow, a lower price of the
// host decides first, unless MechanismPrice is disabled.
func (d *decision) better(a, b option) option {
	if !d.disabled.has(MechanismPrice) && tied(a, b) {
		priceA := d.list.targets[a.index].info.host.PricePerHour
		priceB := d.list.targets[b.index].info.host.PricePerHour
		if priceA != priceB {
			return pick(priceA < priceB, a, b)
		}
	}
	if a.cost() != b.cost() {
		return pick(a.cost() < b.cost(), a, b)
	}
	return pick(a.load <= b.load, a, b)
}

func tied(a, b option) bool {
	inTime := max(a.expected, b.expected) <= FirstTokenTarget
	return inTime && (a.expected-b.expected).Abs() <= priceTieWindow
}

func pick(first bool, a, b option) option {
	if first {
		return a
	}
	return b
}
