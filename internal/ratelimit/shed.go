package ratelimit

import (
	"math"
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// FirstTokenLatencyTarget is the target for the time to first token.
	FirstTokenLatencyTarget = 470 * time.Millisecond
	// queueWaitTarget is the expected queueing time at an endpoint at which the concurrency window
	// (fleetLoad.window) neither grows nor shrinks. The rest of the latency target is for processing
	// the prompt and for waits longer than expected.
	queueWaitTarget = FirstTokenLatencyTarget / 2
	// overloadDuration is how long the window limits requests after a wait of queueWaitTarget or
	// more.
	overloadDuration = 10 * time.Second
	// windowGainPerSecond is the relative change of the window per second when no wait is expected,
	// and when the wait is twice its target or more. In between, it is proportional to the
	// distance of the wait from its target.
	windowGainPerSecond = 0.15
	// maxWindowStep bounds the elapsed time that one update of the window accounts for.
	maxWindowStep = time.Second
	// maxWindowRatio bounds the window relative to the requests in flight or this member's share of
	// the slots, whichever is greater.
	maxWindowRatio = 2
	// minWindowShare is the lower bound of the window, relative to this member's share of the
	// slots.
	minWindowShare = 0.25
	// priorityStep is the part of the window that each priority level adds.
	priorityStep = 0.1
	maxPriority  = 9
	// rateWindow is the time over which the rates of completed and shed requests are averaged.
	rateWindow = 2 * time.Second
	// activeDuration is how long after its last request an organisation counts in the fair shares.
	activeDuration = 5 * time.Second
	// defaultRetryAfter is used while no completion rate is known.
	defaultRetryAfter = time.Second
	// defaultSlotsPerEndpoint applies to fleets that declare no slots.
	defaultSlotsPerEndpoint = 64
)

// fleetLoad is the load that this member puts on one fleet.
type fleetLoad struct {
	mu sync.Mutex
	// window is a concurrency window: the estimated number of this member's requests that the fleet
	// can serve at the same time without queueing.
	window          float64
	windowUpdatedAt time.Time
	// overloadedAt is when the wait last reached its target.
	overloadedAt time.Time
	// fairSlots is this member's equal share of the fleet's slots, at least 1.
	fairSlots     float64
	slots         int
	usage         map[string]*usage
	inFlight      int
	completedRate meter
	shedRate      meter
}

// usage is the load of one organisation on the fleet.
type usage struct {
	weight        float64
	inFlight      int
	lastRequestAt time.Time
}

func newFleetLoad() *fleetLoad { return &fleetLoad{usage: make(map[string]*usage)} }

func (f *fleetLoad) configure(organisations []fleet.Organisation, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = slots
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
	for _, removed := range old {
		f.inFlight -= removed.inFlight
	}
}

// setMembers updates this member's share of the fleet's slots. The window starts at that share.
func (f *fleetLoad) setMembers(members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fairSlots = max(float64(f.slots)/float64(members), 1)
	if f.window == 0 {
		f.window = f.fairSlots
	}
}

func (f *fleetLoad) admit(now time.Time, r *Request) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.usage[r.Organisation]
	if u == nil {
		return Decision{Code: CodeUnknownOrganisation}
	}
	u.lastRequestAt = now
	f.updateWindow(now, r.ExpectedFirstToken-r.ExpectedPrefill)
	if !r.Deadline.IsZero() && now.Add(r.ExpectedFirstToken).After(r.Deadline) {
		return f.refuse(now, CodeDeadline, r.ExpectedFirstToken-r.Deadline.Sub(now))
	}
	if f.overloaded(now) && float64(f.inFlight) >= f.admissionLimit(r.Priority, f.overShare(now, u)) {
		return f.refuse(now, CodeOverloaded, 0)
	}
	u.inFlight++
	f.inFlight++
	if !f.overloaded(now) {
		f.window = max(f.window, float64(f.inFlight))
	}
	return Decision{Admitted: true}
}

// overloaded reports whether requests had to queue recently. While they do not, the window limits
// nothing and grows to the number of requests in flight.
func (f *fleetLoad) overloaded(now time.Time) bool {
	return now.Sub(f.overloadedAt) < overloadDuration
}

// updateWindow grows the window while the expected wait is below its target and shrinks it while
// the wait is above. The number of requests in flight is known without delay, so that the window
// keeps a fully used fleet stable although the wait is observed late.
func (f *fleetLoad) updateWindow(now time.Time, wait time.Duration) {
	if wait >= queueWaitTarget {
		f.overloadedAt = now
	}
	elapsed := min(now.Sub(f.windowUpdatedAt), maxWindowStep)
	if elapsed <= 0 {
		return
	}
	f.windowUpdatedAt = now
	excess := min(max(float64(wait)/float64(queueWaitTarget)-1, -1), 1)
	f.window *= math.Exp(-windowGainPerSecond * excess * elapsed.Seconds())
	maxWindow := maxWindowRatio * max(float64(f.inFlight), f.fairSlots)
	f.window = max(min(f.window, maxWindow), minWindowShare*f.fairSlots)
}

// admissionLimit is the number of requests in flight below which a request is admitted. It
// increases with the priority. An organisation that is within its share gets the limit of the next
// higher priority.
func (f *fleetLoad) admissionLimit(priority int, overShare bool) float64 {
	step := min(max(priority, 0), maxPriority)
	if !overShare {
		step++
	}
	return f.window * (1 + priorityStep*float64(step))
}

// overShare reports whether one more request would exceed the organisation's weighted share, among
// the active organisations, of this member's requests in the fleet.
func (f *fleetLoad) overShare(now time.Time, u *usage) bool {
	total := 0.0
	for _, other := range f.usage {
		if other.inFlight > 0 || now.Sub(other.lastRequestAt) < activeDuration {
			total += other.weight
		}
	}
	share := u.weight / total * float64(f.inFlight+1)
	return float64(u.inFlight+1) > max(share, 1)
}

// refuse returns a decision whose RetryAfter covers the excess wait and the time that it would take
// to serve the recently shed requests.
func (f *fleetLoad) refuse(now time.Time, code Code, excess time.Duration) Decision {
	f.shedRate.add(now, rateWindow)
	completionRate := f.completedRate.rate(now, rateWindow)
	if completionRate <= 0 {
		return refuse(code, excess+defaultRetryAfter)
	}
	backlog := f.shedRate.rate(now, rateWindow) / completionRate
	return refuse(code, excess+time.Duration(backlog*float64(time.Second)))
}

func (f *fleetLoad) done(now time.Time, organisation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completedRate.add(now, rateWindow)
	u := f.usage[organisation]
	if u == nil || u.inFlight == 0 {
		return
	}
	u.inFlight--
	f.inFlight--
}
