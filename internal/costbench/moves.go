package costbench

import (
	"fmt"
	"time"

	"rattanchute/internal/dispatcher"
	"rattanchute/internal/reclaim"
	"rattanchute/internal/route"
)

const (
	// failedTransfers is the share of KV transfers that fail.
	failedTransfers = 0.02
	// The real bandwidth of a transfer as a share of the planned one.
	minBandwidth = 0.7
	maxBandwidth = 1.1
)

func instanceName(m *machine) string { return fmt.Sprint(m.instance) }

// move plans for the streams of a host, each entry node for its own, as package dispatcher
// does.
func (e *entry) move(m *machine) {
	byNode := make([][]*attempt, entryNodes)
	for _, a := range m.engine.open() {
		byNode[a.request.node] = append(byNode[a.request.node], a)
	}
	all := len(m.engine.open())
	for _, streams := range byNode {
		s := e.snapshot(m, streams, all)
		for _, step := range e.planMoves(s) {
			e.carryOut(step, streams[step.Stream], m)
		}
	}
}

func (e *entry) snapshot(m *machine, streams []*attempt, all int) reclaim.Snapshot {
	rates := dispatcher.DefaultMoveRates()
	s := reclaim.Snapshot{
		Now:      e.clock.now,
		Deadline: m.deadline,
		Rates: reclaim.Rates{
			TokenInterval:           rates.TokenInterval,
			TransferTokensPerSecond: e.share(streams, all),
			ParallelTransfers:       rates.MaxTransfers,
			Margin:                  rates.Margin,
		},
	}
	if e.variant.noTransfer {
		s.Rates.ParallelTransfers = 0
	}
	for _, r := range e.router.FreeCapacity(e.clock.now, organisation, e.site.fleet) {
		if e.variant.otherPlaces && r.DataCentre == m.spec.DataCentre {
			continue
		}
		s.Targets = append(s.Targets, reclaim.Target(r))
	}
	for i, a := range streams {
		generated := a.generated(e.clock.now)
		s.Streams = append(s.Streams, reclaim.Stream{
			ID: i, Endpoint: m.spec.Name,
			ContextTokens:   e.site.sharedTokens + a.request.prompt + generated,
			RemainingTokens: e.site.maxTokens - generated,
		})
	}
	return s
}

// share is a node's part of the host's bandwidth: that of its streams there.
func (e *entry) share(streams []*attempt, all int) float64 {
	if e.variant.equalShares {
		return e.site.day.transferRate / entryNodes
	}
	return e.site.day.transferRate * float64(len(streams)) / float64(max(all, 1))
}

func (e *entry) planMoves(s reclaim.Snapshot) []reclaim.Step {
	steps := reclaim.Plan(s)
	if e.variant.earlyTransfers {
		startAtOnce(s, steps, reclaim.Transfer)
	}
	if e.variant.earlyRecomputes {
		startAtOnce(s, steps, reclaim.Recompute)
	}
	return steps
}

// startAtOnce shifts all steps of a way together so that the first one starts now.
func startAtOnce(s reclaim.Snapshot, steps []reclaim.Step, way reclaim.Strategy) {
	first := s.Deadline
	for _, step := range steps {
		if step.Strategy == way && step.Start.Before(first) {
			first = step.Start
		}
	}
	for i := range steps {
		if steps[i].Strategy == way {
			steps[i].Start = s.Now.Add(steps[i].Start.Sub(first))
		}
	}
}

// carryOut does one step at its time, if the stream is still there.
func (e *entry) carryOut(step reclaim.Step, a *attempt, m *machine) {
	e.result.ways[step.Strategy]++
	if step.Strategy == reclaim.Finish {
		return
	}
	engine := m.engine
	e.clock.at(step.Start, func() {
		if a.state == stateEnded || engine.stopped {
			return
		}
		transfer := step.Strategy == reclaim.Transfer && a.state != stateQueued
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
	case step.Strategy == reclaim.Transfer:
		return causeTransferFailed
	default:
		return causePlanned
	}
}
