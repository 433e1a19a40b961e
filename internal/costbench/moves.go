package costbench

import (
	"fmt"
	"slices"
	"time"

	"rattanchute/internal/reclaim"
	"rattanchute/internal/route"
	"rattanchute/internal/serve"
)

const (
	// failedTransfers is the share of KV transfers that fail.
	failedTransfers = 0.02
	// The real bandwidth of a transfer as a share of the planned one.
	minBandwidth = 0.7
	maxBandwidth = 1.1
)

func instanceName(m *machine) string { return fmt.Sprint(m.instance) }

// move plans for the streams of a host, each entry node for its own, as package serve
// does.
func (e *entry) move(m *machine) {
	byNode := make([][]*attempt, entryNodes)
	for _, a := range m.engine.open() {
		byNode[a.request.node] = append(byNode[a.request.node], a)
	}
	nodes := 0
	for _, streams := range byNode {
		nodes += min(len(streams), 1)
	}
	for _, streams := range byNode {
		s := e.snapshot(m, streams, nodes)
		for _, step := range e.planMoves(s) {
			e.carryOut(step, streams[step.Stream], m)
		}
	}
}

func (e *entry) snapshot(m *machine, streams []*attempt, nodes int) reclaim.Snapshot {
	rates := serve.DefaultMoveRates()
	s := reclaim.Snapshot{
		Now:      e.clock.now,
		Deadline: m.deadline,
		Rates: reclaim.Rates{
			TokenInterval:           rates.TokenInterval,
			TransferTokensPerSecond: e.site.day.transferRate / entryNodes,
			TransferLanes:           rates.Lanes,
			Margin:                  rates.Margin,
		},
	}
	if e.variant.fewLanes {
		s.Rates.TransferLanes = min(s.Rates.TransferLanes, max(len(streams), 1))
		s.Rates.TransferTokensPerSecond = e.site.day.transferRate / float64(nodes)
	}
	if e.variant.noTransfer {
		s.Rates.TransferLanes = 0
	}
	for _, r := range e.router.Rooms(e.clock.now, organisation, e.site.fleet) {
		if e.variant.otherPlaces && r.DataCentre == m.spec.DataCentre {
			continue
		}
		s.Survivors = append(s.Survivors, reclaim.Survivor(r))
	}
	for i, a := range streams {
		generated := a.generated(e.clock.now)
		s.Streams = append(s.Streams, reclaim.Stream{
			ID: i, Endpoint: m.spec.Name,
			HeldTokens:      e.site.sharedTokens + a.request.prompt + generated,
			RemainingTokens: e.site.maxTokens - generated,
		})
	}
	return s
}

func (e *entry) planMoves(s reclaim.Snapshot) []reclaim.Step {
	steps := reclaim.Plan(s)
	if e.variant.noOrder {
		steps = planInOrderOfArrival(s)
	}
	if e.variant.lateTransfers {
		delayTransfers(s, steps)
	}
	if e.variant.lateRecomputes {
		delayRecomputes(s, steps)
	}
	if e.variant.noMovePacing {
		for i := range steps {
			if steps[i].Way == reclaim.Recompute {
				steps[i].Start = s.Now
			}
		}
	}
	return steps
}

// delayTransfers shifts the transfers together so that the last one ends just in time.
func delayTransfers(s reclaim.Snapshot, steps []reclaim.Step) {
	perLane := s.Rates.TransferTokensPerSecond / float64(max(s.Rates.TransferLanes, 1))
	end := s.Now
	for _, step := range steps {
		if step.Way != reclaim.Transfer {
			continue
		}
		took := time.Duration(float64(s.Streams[step.Stream].HeldTokens) / perLane * float64(time.Second))
		if ends := step.Start.Add(took); ends.After(end) {
			end = ends
		}
	}
	slack := max(s.Deadline.Add(-s.Rates.Margin).Sub(end), 0)
	for i := range steps {
		if steps[i].Way == reclaim.Transfer {
			steps[i].Start = steps[i].Start.Add(slack)
		}
	}
}

// delayRecomputes has streams go on from their text in the last second only.
func delayRecomputes(s reclaim.Snapshot, steps []reclaim.Step) {
	latest := s.Deadline.Add(-s.Rates.Margin)
	for i := range steps {
		if steps[i].Way == reclaim.Recompute && steps[i].Start.Before(latest) {
			left := latest.Sub(steps[i].Start)
			steps[i].Start = latest.Add(-time.Duration(float64(left) / float64(latest.Sub(s.Now)) * float64(time.Second)))
		}
	}
}

// planInOrderOfArrival has the planner decide on one stream after the other, each on
// the lane that is free first, and then on the rest together.
func planInOrderOfArrival(s reclaim.Snapshot) []reclaim.Step {
	lanes := slices.Repeat([]time.Time{s.Now}, max(s.Rates.TransferLanes, 1))
	perLane := s.Rates.TransferTokensPerSecond / float64(len(lanes))
	survivors := slices.Clone(s.Survivors)
	var steps []reclaim.Step
	rest := s
	rest.Streams = nil
	rest.Rates.TransferLanes = 0
	for _, st := range s.Streams {
		lane := slices.Index(lanes, slices.MinFunc(lanes, time.Time.Compare))
		one := s
		one.Streams = []reclaim.Stream{st}
		one.Survivors = survivors
		one.Rates.TransferLanes = 1
		one.Rates.TransferTokensPerSecond = perLane
		if reclaim.Plan(one)[0].Way != reclaim.Finish {
			one.Now = lanes[lane]
		}
		step := reclaim.Plan(one)[0]
		if step.Way == reclaim.Recompute {
			rest.Streams = append(rest.Streams, st)
			continue
		}
		steps = append(steps, step)
		if step.Way == reclaim.Transfer {
			lanes[lane] = lanes[lane].Add(time.Duration(float64(st.HeldTokens) / perLane * float64(time.Second)))
			i := slices.IndexFunc(survivors, func(v reclaim.Survivor) bool { return v.Endpoint == step.Target })
			survivors[i].FreeSlots--
		}
	}
	rest.Survivors = survivors
	return append(steps, reclaim.Plan(rest)...)
}

// carryOut does one step at its time, if the stream is still there.
func (e *entry) carryOut(step reclaim.Step, a *attempt, m *machine) {
	e.result.ways[step.Way]++
	if step.Way == reclaim.Finish {
		return
	}
	engine := m.engine
	e.clock.at(step.Start, func() {
		if a.state == stateEnded || engine.stopped {
			return
		}
		transfer := step.Way == reclaim.Transfer && a.state != stateQueued
		if !transfer || e.rng.Float64() < failedTransfers {
			e.resume(step, a, m, false)
			return
		}
		held := e.site.sharedTokens + a.request.prompt + a.generated(e.clock.now)
		m.transfers++
		e.clock.after(e.transferTime(m, held), func() {
			m.transfers--
			if a.state != stateEnded && !engine.stopped {
				e.resume(step, a, m, true)
			}
		})
	})
}

// transferTime shares the host's bandwidth among the transfers that are going on.
func (e *entry) transferTime(m *machine, tokens int) time.Duration {
	share := e.site.day.transferRate / float64(m.transfers)
	share *= minBandwidth + (maxBandwidth-minBandwidth)*e.rng.Float64()
	return time.Duration(float64(tokens) / share * float64(time.Second))
}

// resume goes on at the target, with the KV cache or from the text.
func (e *entry) resume(step reclaim.Step, a *attempt, m *machine, transferred bool) {
	r := a.request
	r.left = e.clock.now
	computed := a.leave()
	e.router.End(e.clock.now, m.spec.Name, route.Result{})
	r.transferred = transferred
	e.send(r, step.Target)
	if !r.transferred && computed > 0 {
		e.result.recomputed += float64(computed)
		e.result.causes[causeOf(step, transferred)]++
	}
	e.result.moved++
}

func causeOf(step reclaim.Step, transferred bool) cause {
	switch {
	case transferred:
		return causeTargetGone
	case step.Way == reclaim.Transfer:
		return causeTransferFailed
	default:
		return causePlanned
	}
}
