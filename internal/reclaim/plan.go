package reclaim

import (
	"cmp"
	"slices"
	"time"

	"rattanchute/internal/invariant"
)

// Stream is one open stream on the leaving host.
type Stream struct {
	// ID identifies the stream to the caller of Plan.
	ID       int
	Endpoint string
	Priority int
	// ContextTokens is the length of the prompt plus the output so far, which a move without
	// the KV cache computes again.
	ContextTokens int
	// RemainingTokens is the largest number of tokens that the stream may still produce.
	RemainingTokens int
}

// Target is an endpoint that can take over streams.
type Target struct {
	Endpoint   string
	DataCentre string
	FreeSlots  int
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Now time.Time
	// Deadline is when the host is reclaimed.
	Deadline time.Time
	Streams  []Stream
	Targets  []Target
	Rates    Rates
}

// Rates are the speeds that a plan assumes.
type Rates struct {
	// TokenInterval is the time an engine takes for one output token of a stream.
	TokenInterval time.Duration
	// TransferTokensPerSecond is the KV bandwidth out of the leaving host that this daemon may
	// use, over all transfers together.
	TransferTokensPerSecond float64
	// ParallelTransfers is the number of simultaneous transfers.
	ParallelTransfers int
	// Margin is the time that is kept free before the deadline.
	Margin time.Duration
}

// Strategy is how a stream survives the loss of its host.
type Strategy string

// The strategies, from the cheapest to the most expensive.
const (
	// Finish leaves the stream where it is, because even its longest possible answer is
	// expected to end before the deadline minus the margin.
	Finish Strategy = "finish"
	// Transfer moves the stream together with its KV cache, so that nothing is computed again.
	Transfer Strategy = "transfer"
	// Recompute continues the stream on another endpoint, which computes the prompt and the
	// output so far again.
	Recompute Strategy = "recompute"
)

// Step is the plan for one stream.
type Step struct {
	Stream   int
	Strategy Strategy
	// Target is the endpoint to move to. It is empty for Finish, and for Recompute if no
	// endpoint has a free slot; the router then chooses at the time of the move.
	Target string
	// Start is when to begin: at the latest the deadline minus the margin, or now if that time
	// has passed.
	Start time.Time
}

// Plan returns a step for each stream, ordered by start time.
func Plan(s Snapshot) []Step {
	latest := s.Deadline.Add(-s.Rates.Margin)
	if latest.Before(s.Now) {
		latest = s.Now
	}
	p := planner{snapshot: s, latest: latest, freeSlots: newFreeSlots(s.Targets)}
	remaining := p.planFinishes()
	recomputed := p.planTransfers(remaining)
	p.planRecomputes(recomputed)
	slices.SortStableFunc(p.steps, func(a, b Step) int { return a.Start.Compare(b.Start) })
	p.check()
	return p.steps
}

type planner struct {
	snapshot  Snapshot
	latest    time.Time
	freeSlots *freeSlots
	steps     []Step
}

// planFinishes plans the streams that end in time where they are, and returns the others, those
// with higher priority first.
func (p *planner) planFinishes() []Stream {
	var remaining []Stream
	for _, st := range p.snapshot.Streams {
		need := time.Duration(st.RemainingTokens) * p.snapshot.Rates.TokenInterval
		if p.snapshot.Now.Add(need).After(p.latest) {
			remaining = append(remaining, st)
			continue
		}
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Finish, Start: p.snapshot.Now})
	}
	slices.SortStableFunc(remaining, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
	})
	return remaining
}

// planTransfers plans KV transfers that end in time and returns the remaining streams: those for
// which the time or the free slots of the targets do not suffice, or all if the rates allow no
// transfer. It distributes the transfers over at most ParallelTransfers lanes; those of one lane
// run one after another and as late as possible, because most streams end by themselves before
// their transfer is due.
func (p *planner) planTransfers(remaining []Stream) []Stream {
	r := p.snapshot.Rates
	count := min(r.ParallelTransfers, len(remaining))
	if count <= 0 || r.TransferTokensPerSecond <= 0 {
		return remaining
	}
	laneRate := r.TransferTokensPerSecond / float64(count)
	// lanes holds the start of the earliest transfer planned so far in each lane.
	lanes := slices.Repeat([]time.Time{p.latest}, count)
	var rest []Stream
	for _, st := range remaining {
		lane := indexOfLatest(lanes)
		duration := time.Duration(float64(st.ContextTokens) / laneRate * float64(time.Second))
		start := lanes[lane].Add(-duration)
		target, ok := p.freeSlots.mostFree()
		if start.Before(p.snapshot.Now) || !ok {
			rest = append(rest, st)
			continue
		}
		p.freeSlots.reserve(target)
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Transfer, Target: target, Start: start})
		lanes[lane] = start
	}
	return rest
}

// recomputeWindow is the time before the latest start over which the recomputed streams are
// spread, so that the targets do not receive all of them at once.
const recomputeWindow = time.Second

// planRecomputes plans the moves of the streams that cannot be transferred, spread evenly over
// recomputeWindow before the latest start, or over the time left if that is shorter. Higher
// priorities move first.
func (p *planner) planRecomputes(rest []Stream) {
	window := min(p.latest.Sub(p.snapshot.Now), recomputeWindow)
	for i, st := range rest {
		target, ok := p.freeSlots.mostFree()
		if ok {
			p.freeSlots.reserve(target)
		}
		start := p.latest.Add(-window + window*time.Duration(i)/time.Duration(len(rest)))
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Recompute, Target: target, Start: start})
	}
}

func (p *planner) check() {
	invariant.Check(len(p.steps) == len(p.snapshot.Streams), "reclaim_plan_covers_all_streams",
		"%d steps for %d streams", len(p.steps), len(p.snapshot.Streams))
	for _, step := range p.steps {
		invariant.Check(!step.Start.After(p.latest), "reclaim_step_starts_in_time",
			"stream %d starts %s after the latest time", step.Stream, step.Start.Sub(p.latest))
	}
}

// indexOfLatest returns the index of the latest time.
func indexOfLatest(times []time.Time) int {
	best := 0
	for i, t := range times {
		if t.After(times[best]) {
			best = i
		}
	}
	return best
}
