package route

import (
	"math"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// FirstTokenTarget is the time to first token that a request should see.
	FirstTokenTarget = 470 * time.Millisecond
	// priceSlack is the difference of expected first tokens within which price decides.
	priceSlack = FirstTokenTarget / 10
	// loadFactor bounds the load of an affinity choice to a multiple of the mean.
	loadFactor = 1.25
	// affinityFloor is the share of its slots up to which an endpoint is under its bound
	// whatever the mean: nothing queues there yet.
	affinityFloor = 0.75
	// affinityRanks is how many endpoints are tried in rendezvous order.
	affinityRanks = 8
	// maxDraws bounds the random draws for two available endpoints.
	maxDraws = 8
)

// Query is what a choice depends on.
type Query struct {
	Organisation string
	Fleet        string
	// PrefixHashes are hashes of growing prefixes of the prompt, the shortest first.
	PrefixHashes []uint64
	// PrefixTokens are the lengths of these prefixes; nil means evenly spaced.
	PrefixTokens []int
	PromptTokens int
	MaxTokens    int
	// Exclude names endpoints that must not be chosen, such as those already tried.
	Exclude []string
}

// Choice is the endpoint that is to answer.
type Choice struct {
	Endpoint           fleet.Endpoint
	Priority           int
	ExpectedFirstToken time.Duration
	// ExpectedPrefill is the part of it that the prompt itself takes, without waiting.
	ExpectedPrefill time.Duration
}

// Choose decides which endpoint answers. The random word settles the two choices.
func (r *Router) Choose(now time.Time, rnd uint64, q Query) (Choice, error) {
	list := r.view.Load().lists[listKey{q.Organisation, q.Fleet}]
	if list == nil {
		return Choice{}, ErrNoSelector
	}
	list.observePrompt(q.PromptTokens)
	list.popularity.observe(now, q.PrefixHashes)
	d := r.decision(now, rnd, &q, list)
	d.records = true
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

// decision is one run of the policy; Choose and Explain share it.
type decision struct {
	now  time.Time
	rnd  uint64
	q    *Query
	list *liveList
	// The list's parts that are read often.
	popularity *popularity
	cache      *cacheIndex
	mean       float64
	// records: the choice is real, so that what it looked at is noted.
	records bool
	off     Mechanism
	// trace, if set, is told of each endpoint that was weighed or passed over.
	trace *trace
}

func (r *Router) decision(now time.Time, rnd uint64, q *Query, list *liveList) decision {
	return decision{
		now: now, rnd: rnd, q: q, list: list, off: r.off,
		popularity: list.popularity, cache: r.cache, mean: list.mean.refresh(now, list.targets),
	}
}

// contender is an endpoint that is weighed; index -1 stands for none.
type contender struct {
	index    int
	expected time.Duration
	prefill  time.Duration
	load     float64
}

// cost is the expected first token and, for the others whose prompts wait meanwhile, the
// time that the prompt is computed once more.
func (c contender) cost() time.Duration { return c.expected + c.prefill }

var noContender = contender{index: -1}

func (d *decision) choice(c contender) Choice {
	return Choice{
		Endpoint:           d.list.targets[c.index].info.endpoint,
		Priority:           d.list.priority[c.index],
		ExpectedFirstToken: c.expected,
		ExpectedPrefill:    c.prefill,
	}
}

// decide prefers the affinity choice while its first token is expected in time, and
// otherwise that or the better of two random ones, whichever costs less.
func (d *decision) decide() contender {
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
	return t.available(d.now) && !t.excluded(d.q.Exclude)
}

func (d *decision) weigh(index int) contender {
	t := d.list.targets[index]
	if d.records {
		t.state.wanted.Store(d.now.UnixNano())
	}
	e := t.state.estimate(d.now, d.mean, t.info.slots, d.list.meanPrompt())
	tokens := float64(d.q.PromptTokens - d.cached(t.info.hash))
	prefill := e.prefill(tokens) + t.network
	penalty := time.Duration(t.state.failures.Load()) * failurePenalty
	expected := e.wait(t.state.meanDuration()) + prefill + penalty
	c := contender{index: index, expected: expected, prefill: prefill, load: e.requests}
	d.trace.weighed(c)
	return c
}

// cached is the length of the longest prefix that the endpoint is believed to hold.
func (d *decision) cached(endpoint uint64) int {
	for level := len(d.q.PrefixHashes) - 1; level >= 0; level-- {
		if d.cache.holds(d.q.PrefixHashes[level], endpoint) {
			return d.q.prefixTokens(level)
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

// bound is the load under which an endpoint takes a request for its prefix.
func (d *decision) bound(slots int) float64 {
	const rounding = 1e-9
	n := float64(len(d.list.targets))
	return max(math.Ceil(loadFactor*(d.mean+1/n)-rounding), affinityFloor*float64(slots))
}

// twoChoices weighs two random endpoints.
func (d *decision) twoChoices() contender {
	first := d.draw(d.rnd, -1)
	if first < 0 {
		return noContender
	}
	if d.off.has(MechanismTwoChoices) {
		return d.weigh(first)
	}
	second := d.draw(mix(d.rnd+1), first)
	if second < 0 {
		return d.weigh(first)
	}
	return d.better(d.weigh(first), d.weigh(second))
}

// draw finds a random eligible endpoint other than the given one.
func (d *decision) draw(word uint64, other int) int {
	n := len(d.list.targets)
	for range maxDraws {
		word = mix(word + 1)
		index := below(word, n)
		if index != other && d.eligible(index) {
			return index
		}
	}
	return d.drawAmongEligible(word, other)
}

// drawAmongEligible counts the eligible endpoints and takes one of them, each with the
// same chance. Taking the next one in order instead would load the few that follow a
// run of stopped ones.
func (d *decision) drawAmongEligible(word uint64, other int) int {
	chosen, seen := -1, 0
	for index := range d.list.targets {
		if index == other || !d.eligible(index) {
			continue
		}
		seen++
		word = mix(word + 1)
		if below(word, seen) == 0 {
			chosen = index
		}
	}
	return chosen
}

// better takes the one of two that costs less time; of two in time that hardly differ,
// the one with the lower price.
func (d *decision) better(a, b contender) contender {
	if !d.off.has(MechanismPrice) && tied(a, b) {
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

func tied(a, b contender) bool {
	inTime := max(a.expected, b.expected) <= FirstTokenTarget
	return inTime && (a.expected-b.expected).Abs() <= priceSlack
}

func pick(first bool, a, b contender) contender {
	if first {
		return a
	}
	return b
}
