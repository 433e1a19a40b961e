package loadshed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/balancer"
	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

func TestNobodyIsRefusedWhileAPlaceIsFree(t *testing.T) {
	is := is.New(t)
	for rank := range 4 {
		d := Decide(Request{Rank: rank, LatencyTarget: time.Millisecond, Remaining: time.Second}, Estimate{FirstEvent: 500 * time.Millisecond, InFlight: 3, Slots: 12})
		is.True(d.Admit)
	}
}

func TestWhatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := Decide(Request{LatencyTarget: time.Second, Remaining: time.Second}, Estimate{FirstEvent: 2 * time.Second})
	is.Equal(d, Decision{RetryAfter: 1500 * time.Millisecond})
}

func TestRanksCountMoreUrgentKinds(t *testing.T) {
	is := is.New(t)
	to := func(name string, priority int) fleet.Route {
		return fleet.Route{Priority: priority, Split: []fleet.WeightedFleet{{Fleet: name, Weight: 1}}}
	}
	ranks := NewRanks([]fleet.Route{to("a", 4), to("a", 0), to("a", 4), to("b", 4)})
	is.Equal(ranks.Rank("a", 0), 0)
	is.Equal(ranks.Rank("a", 4), 1)
	is.Equal(ranks.Rank("b", 4), 0)
	is.Equal(ranks.Rank("a", 9), 2)
}

// kind is a kind of request in a played load.
type kind struct {
	rank                int
	perSecond           float64
	prompt, output      int
	goal, patience      time.Duration
	worth               float64
	asked, inTime, late int
	refused             int
}

// grownMix is the load of the larger deployment: long drafts, summaries, and tags.
func grownMix(factor float64) []*kind {
	return []*kind{
		{rank: 0, perSecond: 189 * factor, prompt: 5000, output: 380, goal: 1200 * time.Millisecond, patience: 12 * time.Second, worth: 4.9},
		{rank: 1, perSecond: 201 * factor, prompt: 500, output: 290, goal: 1200 * time.Millisecond, patience: 10 * time.Second, worth: 1.3},
		{rank: 2, perSecond: 323 * factor, prompt: 1500, output: 20, goal: 2500 * time.Millisecond, patience: 3 * time.Second, worth: 0.31},
	}
}

const (
	engineSlots  = 12
	playedFor    = 20 * time.Second
	playedTick   = 10 * time.Millisecond
	readPerMilli = 55.0
	stepMillis   = 2.9
)

// running is a request at an engine.
type running struct {
	kind    *kind
	arrived time.Time
	attempt *balancer.Attempt
	// read and made are the tokens still to be read and made.
	read, made float64
	first      bool
}

// engine runs up to engineSlots requests at once and queues the others by urgency. It reads
// prompts one after the other, and meanwhile makes tokens at half its rate.
type engine struct{ batch, queue []*running }

func (e *engine) advance(now time.Time) {
	for len(e.batch) < engineSlots && len(e.queue) > 0 {
		best := 0
		for i, r := range e.queue {
			if r.kind.rank < e.queue[best].kind.rank {
				best = i
			}
		}
		e.batch = append(e.batch, e.queue[best])
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
	}
	budget := readPerMilli * float64(playedTick.Milliseconds())
	tokens := float64(playedTick.Milliseconds()) / (stepMillis + 0.1*float64(len(e.batch)))
	for _, r := range e.batch {
		part := min(budget, r.read)
		r.read -= part
		budget -= part
		if part > 0 {
			tokens /= 2
		}
	}
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.read <= 0 {
			r.made -= tokens
			r.begin(now)
		}
		if r.made > 0 {
			kept = append(kept, r)
			continue
		}
		r.attempt.End(now, balancer.ResultOK)
	}
	e.batch = kept
}

func (r *running) begin(now time.Time) {
	if r.first {
		return
	}
	r.first = true
	r.attempt.FirstEvent(now)
	if now.Sub(r.arrived) <= r.kind.goal {
		r.kind.inTime++
	} else {
		r.kind.late++
	}
}

// play sends a load to a number of engines through the real placement, and returns the share
// of the worth that is answered in time.
func play(engines int, mix []*kind, seed uint64, decide func(Request, Estimate) Decision) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	table := balancer.NewTable("dc")
	table.Configure(&fleet.Configuration{Fleets: []fleet.Fleet{{Name: "f", Engine: &fleet.Engine{Slots: engineSlots, CacheTokens: 400_000}}}})
	var known []registry.Known
	running := map[string]*engine{}
	for i := range engines {
		id := fmt.Sprint("e", i)
		known = append(known, registry.Known{Endpoint: registry.Endpoint{ID: id, Fleet: "f", Slots: engineSlots, DataCentre: "dc", Address: id}})
		running[id] = &engine{}
	}
	table.SetEndpoints(known)
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(playedFor)); now = now.Add(playedTick) {
		for _, k := range mix {
			for n := k.perSecond * playedTick.Seconds(); n > 0; n-- {
				if n >= 1 || rnd.Float64() < n {
					arrive(table, running, now, k, rnd, decide)
				}
			}
		}
		for _, e := range running {
			e.advance(now)
		}
	}
	earned, owed := 0.0, 0.0
	for _, k := range mix {
		owed += k.worth * float64(k.asked)
		earned += k.worth * (float64(k.inTime) + 0.1*float64(k.late))
	}
	return earned / owed
}

func arrive(table *balancer.Table, engines map[string]*engine, now time.Time, k *kind, rnd *rand.Rand, decide func(Request, Estimate) Decision) {
	k.asked++
	r := balancer.Request{Fleet: "f", PromptTokens: k.prompt, OutputTokens: k.output}
	c, ok := table.Choose(now, rnd.Uint64(), r)
	if !ok || !decide(Request{Rank: k.rank, LatencyTarget: k.goal, Remaining: k.patience}, Estimate{c.CorrectedFirstEvent, c.Queued, c.InFlight, engineSlots}).Admit {
		k.refused++
		return
	}
	e := engines[c.Endpoint.ID]
	e.queue = append(e.queue, &running{kind: k, arrived: now, attempt: table.Begin(now, r, c), read: float64(k.prompt) / 2, made: float64(k.output)})
}

// takeAll refuses only what cannot be in time at all.
func takeAll(r Request, o Estimate) Decision {
	r.LatencyTarget = 0
	return Decide(r, o)
}

// TestUrgentRequestsAreAnsweredWhileEndpointsAreShort plays the larger deployment's load on
// what is left of its endpoints after two data centres were reclaimed, or three: more of the
// worth is answered in time than without the decision.
func TestUrgentRequestsAreAnsweredWhileEndpointsAreShort(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{25, 35, 45} {
		for seed := range uint64(3) {
			with, without := grownMix(1), grownMix(1)
			gained := play(engines, with, seed, Decide)
			plain := play(engines, without, seed, takeAll)
			t.Logf("%d engines, seed %d: %.3f of the worth with, %.3f without; drafts in time %d and %d",
				engines, seed, gained, plain, with[0].inTime, without[0].inTime)
			is.True(gained > plain+0.03)
		}
	}
}

// TestNothingIsRefusedInCalm plays the same load on all endpoints.
func TestNothingIsRefusedInCalm(t *testing.T) {
	is := is.New(t)
	mix := grownMix(0.8)
	share := play(140, mix, 1, Decide)
	t.Logf("%.3f in time", share)
	for _, k := range mix {
		is.Equal(k.refused, 0)
	}
	is.True(share > 0.95)
}
