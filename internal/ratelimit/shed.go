package ratelimit

import (
	"math"
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// FirstTokenLatencyTarget is the time to first token that a request should see.
	FirstTokenLatencyTarget = 470 * time.Millisecond
	// waitTarget is the expected wait at an endpoint that the window settles at. The rest of
	// the target is for the prompt itself and for waits longer than expected.
	waitTarget = FirstTokenLatencyTarget / 2
	// pressedFor is how long after a wait over the target the window limits requests.
	pressedFor = 10 * time.Second
	// windowGain is how fast the window follows the wait, a second.
	windowGain = 0.15
	// maxWindowStep bounds the time that one update of the window accounts for.
	maxWindowStep = time.Second
	// windowRoom is how far the window may exceed the requests in flight.
	windowRoom = 2
	// minWindowShare is the part of this member's share of the slots that the window keeps.
	minWindowShare = 0.25
	// priorityStep is the part of the window that each priority adds.
	priorityStep = 0.1
	maxPriority  = 9
	// drainWindow is the time over which ended and shed requests are averaged.
	drainWindow = 2 * time.Second
	// activeFor is how long after its last request an organisation counts in the shares.
	activeFor = 5 * time.Second
	// defaultRetryAfter is used until the drain rate is known.
	defaultRetryAfter = time.Second
	// defaultSlots is taken for an endpoint of a fleet that declares none.
	defaultSlots = 64
)

// fleetLoad is what this member knows of its own requests in one fleet.
type fleetLoad struct {
	mu sync.Mutex
	// window is the number of requests in flight that the fleet serves without a queue
	// for this member, as far as is known.
	window   float64
	windowAt time.Time
	// pressedAt is when the wait was last over its target.
	pressedAt time.Time
	// fair is this member's part of the fleet's slots.
	fair     float64
	slots    int
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
	for _, gone := range old {
		f.inFlight -= gone.inFlight
	}
}

// setMembers sets this member's part of the fleet's slots; the window starts there.
func (f *fleetLoad) setMembers(members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fair = max(float64(f.slots)/float64(members), 1)
	if f.window == 0 {
		f.window = f.fair
	}
}

func (f *fleetLoad) admit(now time.Time, ask *Request) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.usage[ask.Organisation]
	if u == nil {
		return Decision{Code: CodeUnknownOrganisation}
	}
	u.asked = now
	f.follow(now, ask.ExpectedFirstToken-ask.ExpectedPrefill)
	if !ask.Deadline.IsZero() && now.Add(ask.ExpectedFirstToken).After(ask.Deadline) {
		return f.refuse(now, CodeDeadline, ask.ExpectedFirstToken-ask.Deadline.Sub(now))
	}
	if f.pressed(now) && float64(f.inFlight) >= f.limit(ask.Priority, f.overShare(now, u)) {
		return f.refuse(now, CodeOverloaded, 0)
	}
	u.inFlight++
	f.inFlight++
	if !f.pressed(now) {
		f.window = max(f.window, float64(f.inFlight))
	}
	return Decision{Admitted: true}
}

// pressed reports whether the fleet has had a queue lately. Without one the window
// limits nothing and takes in what is in flight.
func (f *fleetLoad) pressed(now time.Time) bool {
	return now.Sub(f.pressedAt) < pressedFor
}

// follow lets the window grow while the expected wait is under its target and shrink
// while it is over. The requests in flight are known without a lag, so that the window
// holds a full fleet steady although the wait is learned late.
func (f *fleetLoad) follow(now time.Time, wait time.Duration) {
	if wait >= waitTarget {
		f.pressedAt = now
	}
	elapsed := min(now.Sub(f.windowAt), maxWindowStep)
	if elapsed <= 0 {
		return
	}
	f.windowAt = now
	excess := min(max(float64(wait)/float64(waitTarget)-1, -1), 1)
	f.window *= math.Exp(-windowGain * excess * elapsed.Seconds())
	room := windowRoom * max(float64(f.inFlight), f.fair)
	f.window = max(min(f.window, room), minWindowShare*f.fair)
}

// limit is the number in flight up to which a request is admitted. It rises with the
// priority; within its share an organisation has the limit of the next one.
func (f *fleetLoad) limit(priority int, overShare bool) float64 {
	step := min(max(priority, 0), maxPriority)
	if !overShare {
		step++
	}
	return f.window * (1 + priorityStep*float64(step))
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
