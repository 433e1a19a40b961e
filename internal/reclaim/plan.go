package reclaim

import (
	"cmp"
	"slices"
	"time"

	"rattanchute/internal/invariant"
)

// Stream is one open stream on the leaving host.
type Stream struct {
	// ID is the caller's handle on the stream.
	ID       int
	Endpoint string
	Priority int
	// ContextTokens is prompt plus answer so far: what a move by text computes again.
	ContextTokens int
	// RemainingTokens is the most that the answer can still grow.
	RemainingTokens int
}

// Target is an endpoint that can take streams over.
type Target struct {
	Endpoint   string
	DataCentre string
	FreeSlots  int
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Now time.Time
	// Deadline is when the host is taken away.
	Deadline time.Time
	Streams  []Stream
	Targets  []Target
	Rates    Rates
}

// Rates are the speeds that a plan counts on.
type Rates struct {
	// TokenInterval is the time an engine takes for one output token of a stream.
	TokenInterval time.Duration
	// TransferTokensPerSecond is the KV bandwidth out of the leaving host that this
	// daemon may use, over all lanes.
	TransferTokensPerSecond float64
	// ParallelTransfers is the number of transfers at once.
	ParallelTransfers int
	// Margin is kept free before the deadline.
	Margin time.Duration
}

// Strategy is how a stream survives.
type Strategy string

// The ways, from the cheapest to the dearest.
const (
	// Finish: the stream ends before the deadline where it is.
	Finish Strategy = "finish"
	// Transfer: the KV cache goes along, nothing is computed again.
	Transfer Strategy = "transfer"
	// Recompute: another endpoint computes prompt and text again and goes on.
	Recompute Strategy = "recompute"
)

// Step is what becomes of one stream.
type Step struct {
	Stream   int
	Strategy Strategy
	// Target is the endpoint to move to; empty for Finish and where no survivor is
	// known, in which case the router chooses when the time comes.
	Target string
	// Start is when to begin; never after the deadline less the margin.
	Start time.Time
}

// Plan decides what becomes of each stream, in the order of the steps' start.
func Plan(s Snapshot) []Step {
	latest := s.Deadline.Add(-s.Rates.Margin)
	if latest.Before(s.Now) {
		latest = s.Now
	}
	p := planner{snapshot: s, latest: latest, room: newRoom(s.Targets)}
	moving := p.finishers()
	rest := p.transfers(moving)
	p.recomputes(rest)
	slices.SortStableFunc(p.steps, func(a, b Step) int { return a.Start.Compare(b.Start) })
	p.check()
	return p.steps
}

type planner struct {
	snapshot Snapshot
	latest   time.Time
	room     *room
	steps    []Step
}

// finishers leaves streams that end in time where they are, and returns the others, the
// highest priorities first.
func (p *planner) finishers() []Stream {
	var moving []Stream
	for _, st := range p.snapshot.Streams {
		need := time.Duration(st.RemainingTokens) * p.snapshot.Rates.TokenInterval
		if p.snapshot.Now.Add(need).After(p.latest) {
			moving = append(moving, st)
			continue
		}
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Finish, Start: p.snapshot.Now})
	}
	slices.SortStableFunc(moving, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
	})
	return moving
}

// transfers fills the lanes with KV moves that end in time and returns what is left. The
// moves of a lane follow one another and end as late as they may: most streams end by
// themselves before their turn comes.
func (p *planner) transfers(moving []Stream) []Stream {
	r := p.snapshot.Rates
	count := min(r.ParallelTransfers, len(moving))
	if count <= 0 || r.TransferTokensPerSecond <= 0 {
		return moving
	}
	perLane := r.TransferTokensPerSecond / float64(count)
	// lanes are the starts of the earliest move planned in each lane.
	lanes := slices.Repeat([]time.Time{p.latest}, count)
	var rest []Stream
	for _, st := range moving {
		lane := last(lanes)
		took := time.Duration(float64(st.ContextTokens) / perLane * float64(time.Second))
		start := lanes[lane].Add(-took)
		target, ok := p.room.peek()
		if start.Before(p.snapshot.Now) || !ok {
			rest = append(rest, st)
			continue
		}
		p.room.take(target)
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Transfer, Target: target, Start: start})
		lanes[lane] = start
	}
	return rest
}

// recomputeWindow is the time before the latest one over which streams that cannot be
// transferred are spread, so that the survivors do not get all of them at once.
const recomputeWindow = time.Second

// recomputes moves what cannot be transferred in the last moments, higher priorities
// first.
func (p *planner) recomputes(rest []Stream) {
	window := min(p.latest.Sub(p.snapshot.Now), recomputeWindow)
	for i, st := range rest {
		target, ok := p.room.peek()
		if ok {
			p.room.take(target)
		}
		start := p.latest.Add(-window + window*time.Duration(i)/time.Duration(len(rest)))
		p.steps = append(p.steps, Step{Stream: st.ID, Strategy: Recompute, Target: target, Start: start})
	}
}

func (p *planner) check() {
	invariant.Check(len(p.steps) == len(p.snapshot.Streams), "reclaim_plan_covers_all_streams",
		"%d steps for %d streams", len(p.steps), len(p.snapshot.Streams))
	for _, st := range p.steps {
		invariant.Check(!st.Start.After(p.latest), "reclaim_step_starts_in_time",
			"stream %d starts %s after the latest time", st.Stream, st.Start.Sub(p.latest))
	}
}

// last returns the index of the latest time.
func last(times []time.Time) int {
	best := 0
	for i, t := range times {
		if t.After(times[best]) {
			best = i
		}
	}
	return best
}
