package loadshed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/balancer"
	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

func TestAdmitsAllWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	for rank := range 4 {
		d := Decide(Request{Rank: rank, LatencyTarget: time.Millisecond, Remaining: time.Second}, Estimate{FirstEvent: 500 * time.Millisecond, InFlight: 3, Slots: 12})
		is.True(d.Admit)
	}
}

func TestRefusesRequestsThatWouldBeLate(t *testing.T) {
	is := is.New(t)
	d := Decide(Request{LatencyTarget: time.Second, Remaining: time.Second}, Estimate{FirstEvent: 2 * time.Second})
	is.Equal(d, Decision{RetryAfter: 1500 * time.Millisecond})
}

func TestRankCountsMoreUrgentPriorities(t *testing.T) {
	is := is.New(t)
	route := func(name string, priority int) fleet.Route {
		return fleet.Route{Priority: priority, Split: []fleet.WeightedFleet{{Fleet: name, Weight: 1}}}
	}
	ranks := NewRanks([]fleet.Route{route("a", 4), route("a", 0), route("a", 4), route("b", 4)})
	is.Equal(ranks.Rank("a", 0), 0)
	is.Equal(ranks.Rank("a", 4), 1)
	is.Equal(ranks.Rank("b", 4), 0)
	is.Equal(ranks.Rank("a", 9), 2)
}

// class is a class of requests in the simulated load, with its results. value is that of one request
// whose first token is in time.
type class struct {
	rank                       int
	ratePerSecond              float64
	promptTokens, outputTokens int
	latencyTarget, timeout     time.Duration
	value                      float64
	total, inTime, late        int
	refused                    int
}

// largeDeploymentLoad is the load of the larger deployment, with its rates multiplied by factor:
// long drafts, summaries and tags.
func largeDeploymentLoad(factor float64) []*class {
	return []*class{
		{rank: 0, ratePerSecond: 189 * factor, promptTokens: 5000, outputTokens: 380, latencyTarget: 1200 * time.Millisecond, timeout: 12 * time.Second, value: 4.9},
		{rank: 1, ratePerSecond: 201 * factor, promptTokens: 500, outputTokens: 290, latencyTarget: 1200 * time.Millisecond, timeout: 10 * time.Second, value: 1.3},
		{rank: 2, ratePerSecond: 323 * factor, promptTokens: 1500, outputTokens: 20, latencyTarget: 2500 * time.Millisecond, timeout: 3 * time.Second, value: 0.31},
	}
}

// longPromptLoad is the load of an assistant site: summaries and explanations with long prompts, which
// fill an engine long before its slots do, and short questions.
func longPromptLoad(factor float64) []*class {
	return []*class{
		{rank: 0, ratePerSecond: 161 * factor, promptTokens: 9200, outputTokens: 49, latencyTarget: 800 * time.Millisecond, timeout: 4 * time.Second, value: 2.6},
		{rank: 1, ratePerSecond: 223 * factor, promptTokens: 17000, outputTokens: 119, latencyTarget: time.Second, timeout: 8 * time.Second, value: 3},
		{rank: 2, ratePerSecond: 269 * factor, promptTokens: 1460, outputTokens: 175, latencyTarget: 600 * time.Millisecond, timeout: 8 * time.Second, value: 0.39},
	}
}

const (
	fewSlots             = 12
	manySlots            = 64
	simulatedDuration    = 20 * time.Second
	simulationTick       = 10 * time.Millisecond
	promptTokensPerMilli = 55.0
	decodeStepMillis     = 2.9
)

// activeRequest is a request that is queued or running at an engine.
type activeRequest struct {
	class   *class
	arrived time.Time
	attempt *balancer.Attempt
	// promptLeft and outputLeft are the prompt tokens still to be processed and the output tokens
	// still to be generated.
	promptLeft, outputLeft float64
	started                bool
}

// engine runs up to a number of requests at once and queues the others by rank. It processes one
// prompt after the other. Each prompt that it processes within a tick halves the rate at which it
// generates tokens in that tick.
type engine struct {
	slots          int
	running, queue []*activeRequest
}

func (e *engine) advance(now time.Time) {
	for len(e.running) < e.slots && len(e.queue) > 0 {
		best := 0
		for i, r := range e.queue {
			if r.class.rank < e.queue[best].class.rank {
				best = i
			}
		}
		e.running = append(e.running, e.queue[best])
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
	}
	budget := promptTokensPerMilli * float64(simulationTick.Milliseconds())
	tokens := float64(simulationTick.Milliseconds()) / (decodeStepMillis + 0.1*float64(len(e.running)))
	for _, r := range e.running {
		part := min(budget, r.promptLeft)
		r.promptLeft -= part
		budget -= part
		if part > 0 {
			tokens /= 2
		}
	}
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.promptLeft <= 0 {
			r.outputLeft -= tokens
			r.recordFirstToken(now)
		}
		if r.outputLeft > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		r.attempt.End(now, balancer.ResultOK)
	}
	e.running = unfinished
}

func (r *activeRequest) recordFirstToken(now time.Time) {
	if r.started {
		return
	}
	r.started = true
	r.attempt.FirstEvent(now)
	if now.Sub(r.arrived) <= r.class.latencyTarget {
		r.class.inTime++
	} else {
		r.class.late++
	}
}

// simulate sends a load to a number of engines through the real load balancer. It returns the value
// of the requests that are served in time, relative to the value of all requests; late ones count a
// tenth.
func simulate(engineCount, slots int, mix []*class, seed uint64, decide func(Request, Estimate) Decision) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	table := balancer.NewTable("dc", backpressure.NewTable("host"))
	table.Configure(&fleet.Configuration{Fleets: []fleet.Fleet{{Name: "f", Engine: &fleet.Engine{Slots: slots, CacheTokens: 400_000}}}})
	var known []registry.Known
	engines := map[string]*engine{}
	for i := range engineCount {
		id := fmt.Sprint("e", i)
		known = append(known, registry.Known{Endpoint: registry.Endpoint{ID: id, Fleet: "f", Slots: slots, DataCentre: "dc", Address: id}})
		engines[id] = &engine{slots: slots}
	}
	table.SetEndpoints(known)
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(simulatedDuration)); now = now.Add(simulationTick) {
		for _, k := range mix {
			for n := k.ratePerSecond * simulationTick.Seconds(); n > 0; n-- {
				if n >= 1 || rnd.Float64() < n {
					arrive(table, engines, now, k, rnd, decide)
				}
			}
		}
		for _, e := range engines {
			e.advance(now)
		}
	}
	served, offered := 0.0, 0.0
	for _, k := range mix {
		offered += k.value * float64(k.total)
		served += k.value * (float64(k.inTime) + 0.1*float64(k.late))
	}
	return served / offered
}

func arrive(table *balancer.Table, engines map[string]*engine, now time.Time, k *class, rnd *rand.Rand, decide func(Request, Estimate) Decision) {
	k.total++
	r := balancer.Request{Fleet: "f", PromptTokens: k.promptTokens, OutputTokens: k.outputTokens}
	c, ok := table.Choose(now, rnd.Uint64(), r)
	if !ok || !decide(Request{Rank: k.rank, LatencyTarget: k.latencyTarget, Remaining: k.timeout}, Estimate{c.CorrectedFirstEvent, c.Backlog, c.Queued, c.InFlight, c.Endpoint.Slots}).Admit {
		k.refused++
		return
	}
	e := engines[c.Endpoint.ID]
	e.queue = append(e.queue, &activeRequest{class: k, arrived: now, attempt: table.Begin(now, r, c), promptLeft: float64(k.promptTokens) / 2, outputLeft: float64(k.outputTokens)})
}

// admitUnlessLate rejects only requests whose first token would come too close to their deadline.
func admitUnlessLate(r Request, e Estimate) Decision {
	r.LatencyTarget = 0
	return Decide(r, e)
}

// TestMoreValueIsServedInTimeUnderOverload simulates the load of the larger deployment on the
// endpoints that are left after two or three data centres were reclaimed. Load shedding must serve
// more value in time than admitting all requests that can meet their deadline.
func TestMoreValueIsServedInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{25, 35, 45} {
		for seed := range uint64(3) {
			shedLoad, baselineLoad := largeDeploymentLoad(1), largeDeploymentLoad(1)
			shedValue := simulate(engines, fewSlots, shedLoad, seed, Decide)
			baselineValue := simulate(engines, fewSlots, baselineLoad, seed, admitUnlessLate)
			t.Logf("%d engines, seed %d: share of value %.3f with load shedding, %.3f without; drafts in time %d and %d",
				engines, seed, shedValue, baselineValue, shedLoad[0].inTime, baselineLoad[0].inTime)
			is.True(shedValue > baselineValue+0.03)
		}
	}
}

// TestLongPromptsAreShedWhileSlotsAreFree simulates long prompts on the engines that are left after
// reclaims. Load shedding must serve more value in time than admitting all requests that can meet their
// deadline, although hardly any engine has most of its slots in use.
func TestLongPromptsAreShedWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	for _, engines := range []int{25, 35} {
		for seed := range uint64(2) {
			shedLoad, baselineLoad := longPromptLoad(1), longPromptLoad(1)
			shedValue := simulate(engines, manySlots, shedLoad, seed, Decide)
			baselineValue := simulate(engines, manySlots, baselineLoad, seed, admitUnlessLate)
			t.Logf("%d engines, seed %d: share of value %.3f with load shedding, %.3f without; explanations in time %d and %d",
				engines, seed, shedValue, baselineValue, shedLoad[0].inTime, baselineLoad[0].inTime)
			is.True(shedValue > baselineValue+0.1)
		}
	}
	mix := longPromptLoad(0.7)
	share := simulate(80, manySlots, mix, 1, Decide)
	refused := mix[0].refused + mix[1].refused + mix[2].refused
	t.Logf("80 engines, 0.7 of the load: share of value %.3f, %d refused", share, refused)
	is.True(share > 0.95)
	is.Equal(refused, 0)
}

// TestNothingIsRefusedAtNormalLoad simulates 80% of the same load on all endpoints.
func TestNothingIsRefusedAtNormalLoad(t *testing.T) {
	is := is.New(t)
	mix := largeDeploymentLoad(0.8)
	share := simulate(140, fewSlots, mix, 1, Decide)
	t.Logf("share of value in time: %.3f", share)
	for _, k := range mix {
		is.Equal(k.refused, 0)
	}
	is.True(share > 0.95)
}
