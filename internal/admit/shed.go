package admit

import (
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// LatencyTarget is the expected first token up to which everything is admitted.
	LatencyTarget = 470 * time.Millisecond
	// maxPriority is the last priority to be shed.
	maxPriority = 9
	// drainWindow is the time over which ended and shed requests are averaged.
	drainWindow = 2 * time.Second
	// activeFor is how long after its last request an organisation counts in the shares.
	activeFor = 5 * time.Second
	// defaultRetryAfter is used until the drain rate is known.
	defaultRetryAfter = time.Second
)

// fleetLoad is what this member knows of its own requests in one fleet.
type fleetLoad struct {
	mu       sync.Mutex
	usage    map[string]*usage
	inFlight int
	ended    meter
	shed     meter
}

// usage is one organisation's part.
type usage struct {
	weight   float64
	inFlight int
	asked    time.Time
}

func newFleetLoad() *fleetLoad { return &fleetLoad{usage: make(map[string]*usage)} }

func (f *fleetLoad) configure(organisations []fleet.Organisation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.usage
	f.usage = make(map[string]*usage, len(organisations))
	for _, declared := range organisations {
		u := old[declared.Name]
		if u == nil {
			u = &usage{}
		}
		u.weight = declared.Weight
		if u.weight <= 0 {
			u.weight = 1
		}
		f.usage[declared.Name] = u
		delete(old, declared.Name)
	}
	for _, gone := range old {
		f.inFlight -= gone.inFlight
	}
}

func (f *fleetLoad) admit(now time.Time, ask *Ask) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.usage[ask.Organisation]
	if u == nil {
		return Decision{Code: CodeUnknownOrganisation}
	}
	u.asked = now
	if !ask.Deadline.IsZero() && now.Add(ask.ExpectedFirstToken).After(ask.Deadline) {
		return f.refuse(now, CodeDeadline, ask.ExpectedFirstToken-ask.Deadline.Sub(now))
	}
	limit := firstTokenLimit(ask.Priority, f.overShare(now, u))
	if ask.ExpectedFirstToken > limit {
		return f.refuse(now, CodeOverloaded, ask.ExpectedFirstToken-limit)
	}
	u.inFlight++
	f.inFlight++
	return Decision{Admitted: true}
}

// firstTokenLimit is the expected first token up to which a request is admitted. It
// rises with the priority, from one to two latency targets; within a priority, an
// organisation over its share has the lower one.
func firstTokenLimit(priority int, overShare bool) time.Duration {
	step := 2 * min(max(priority, 0), maxPriority)
	if !overShare {
		step++
	}
	const steps = 2*maxPriority + 1
	return LatencyTarget + LatencyTarget*time.Duration(step)/steps
}

// overShare reports whether one more request takes the organisation over its weighted
// share of this member's requests in the fleet, among the active organisations.
func (f *fleetLoad) overShare(now time.Time, u *usage) bool {
	total := 0.0
	for _, other := range f.usage {
		if other.inFlight > 0 || now.Sub(other.asked) < activeFor {
			total += other.weight
		}
	}
	share := u.weight / total * float64(f.inFlight+1)
	return float64(u.inFlight+1) > max(share, 1)
}

// refuse says when to come back: when the wait that is too long has passed, and the
// requests that were turned away lately have been served.
func (f *fleetLoad) refuse(now time.Time, code Code, excess time.Duration) Decision {
	f.shed.add(now, drainWindow)
	drain := f.ended.rate(now, drainWindow)
	if drain <= 0 {
		return refuse(code, excess+defaultRetryAfter)
	}
	backlog := f.shed.rate(now, drainWindow) / drain
	return refuse(code, excess+time.Duration(backlog*float64(time.Second)))
}

func (f *fleetLoad) done(now time.Time, organisation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended.add(now, drainWindow)
	u := f.usage[organisation]
	if u == nil || u.inFlight == 0 {
		return
	}
	u.inFlight--
	f.inFlight--
}
