package costbench

import (
	"fmt"
	"time"

	"rattanchute/internal/dispatcher"
	"rattanchute/internal/reclaim"
	"rattanchute/internal/route"
)

const (
	// failedTransferShare is the share of KV transfers that fail.
	failedTransferShare = 0.02
	// minBandwidth and maxBandwidth bound the actual bandwidth of a transfer as a share of its
	// equal part of the host's nominal bandwidth.
	minBandwidth = 0.7
	maxBandwidth = 1.1
)

func instanceName(m *machine) string { return fmt.Sprint(m.instance) }

// move plans and schedules the moves of the streams on a host. Each entry node plans for its
// own streams, as in package dispatcher.
func (f *frontend) move(m *machine) {
	byNode := make([][]*attempt, entryNodes)
	for _, a := range m.engine.activeAttempts() {
		byNode[a.request.node] = append(byNode[a.request.node], a)
	}
	total := len(m.engine.activeAttempts())
	for _, streams := range byNode {
		s := f.snapshot(m, streams, total)
		for _, step := range f.planMoves(s) {
			f.execute(step, streams[step.Stream], m)
		}
	}
}

func (f *frontend) snapshot(m *machine, streams []*attempt, total int) reclaim.Snapshot {
	rates := dispatcher.DefaultMoveRates()
	s := reclaim.Snapshot{
		Now:      f.clock.now,
		Deadline: m.deadline,
		Rates: reclaim.Rates{
			TokenInterval:           rates.TokenInterval,
			TransferTokensPerSecond: f.share(streams, total),
			ParallelTransfers:       rates.MaxTransfers,
			Margin:                  rates.Margin,
		},
	}
	if f.variant.noTransfer {
		s.Rates.ParallelTransfers = 0
	}
	for _, free := range f.router.FreeCapacity(f.clock.now, organisation, f.site.fleet) {
		if f.variant.otherDataCentres && free.DataCentre == m.spec.DataCentre {
			continue
		}
		s.Targets = append(s.Targets, reclaim.Target(free))
	}
	for i, a := range streams {
		generated := a.generated(f.clock.now)
		s.Streams = append(s.Streams, reclaim.Stream{
			ID: i, Endpoint: m.spec.Name,
			ContextTokens:   f.site.sharedTokens + a.request.prompt + generated,
			RemainingTokens: f.site.maxTokens - generated,
		})
	}
	return s
}

// share returns the part of the host's bandwidth that a node may use, in proportion to its
// streams there.
func (f *frontend) share(streams []*attempt, total int) float64 {
	if f.variant.equalShares {
		return f.site.day.transferRate / entryNodes
	}
	return f.site.day.transferRate * float64(len(streams)) / float64(max(total, 1))
}

func (f *frontend) planMoves(s reclaim.Snapshot) []reclaim.Step {
	steps := reclaim.Plan(s)
	if f.variant.earlyTransfers {
		startAtOnce(s, steps, reclaim.Transfer)
	}
	if f.variant.earlyRecomputes {
		startAtOnce(s, steps, reclaim.Recompute)
	}
	return steps
}

// startAtOnce shifts all steps with the strategy by the same time, so that the first of them
// starts now.
func startAtOnce(s reclaim.Snapshot, steps []reclaim.Step, strategy reclaim.Strategy) {
	first := s.Deadline
	for _, step := range steps {
		if step.Strategy == strategy && step.Start.Before(first) {
			first = step.Start
		}
	}
	for i := range steps {
		if steps[i].Strategy == strategy {
			steps[i].Start = s.Now.Add(steps[i].Start.Sub(first))
		}
	}
}

// execute schedules a step; it has no effect if the stream has ended or the engine has stopped
// by then. A queued stream is moved without a transfer, because it has no KV cache yet.
func (f *frontend) execute(step reclaim.Step, a *attempt, m *machine) {
	f.result.strategies[step.Strategy]++
	if step.Strategy == reclaim.Finish {
		return
	}
	engine := m.engine
	f.clock.at(step.Start, func() {
		if a.state == stateEnded || engine.stopped {
			return
		}
		transfer := step.Strategy == reclaim.Transfer && a.state != stateQueued
		if !transfer || f.rng.Float64() < failedTransferShare {
			f.resume(step, a, m, false)
			return
		}
		contextTokens := f.site.sharedTokens + a.request.prompt + a.generated(f.clock.now)
		m.transfers++
		f.clock.after(f.transferTime(m, contextTokens), func() {
			m.transfers--
			if a.state != stateEnded && !engine.stopped {
				f.resume(step, a, m, true)
			}
		})
	})
}

// transferTime returns the time of a transfer that shares the host's bandwidth equally with the
// others that are in progress when it starts.
func (f *frontend) transferTime(m *machine, tokens int) time.Duration {
	share := f.site.day.transferRate / float64(m.transfers)
	share *= minBandwidth + (maxBandwidth-minBandwidth)*f.rng.Float64()
	return time.Duration(float64(tokens) / share * float64(time.Second))
}

// resume continues the stream at the target, with the KV cache or by computing its text again. If
// the target is not ready, send chooses another host, which always computes the text again.
func (f *frontend) resume(step reclaim.Step, a *attempt, m *machine, transferred bool) {
	r := a.request
	r.leftAt = f.clock.now
	computed := a.leave()
	f.router.End(f.clock.now, m.spec.Name, route.Result{})
	r.transferred = transferred
	f.send(r, step.Target)
	if !r.transferred && computed > 0 {
		f.result.recomputed += float64(computed)
		f.result.causes[causeOf(step, transferred)]++
	}
	f.result.moved++
}

func causeOf(step reclaim.Step, transferred bool) cause {
	switch {
	case transferred:
		return causeTargetUnavailable
	case step.Strategy == reclaim.Transfer:
		return causeTransferFailed
	default:
		return causePlanned
	}
}
