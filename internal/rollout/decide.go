package rollout

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// permitInMesh and permitInGroups are for how long a host may rely on a confirmation of the step: where all hosts
	// report to each other, and where they hear of the step from their leaders.
	permitInMesh   = 1500 * time.Millisecond
	permitInGroups = 3500 * time.Millisecond
	// ackTime is how long hosts take to hear of a step and to report it, and ackTimeInGroups the same in groups.
	ackTime         = 900 * time.Millisecond
	ackTimeInGroups = 2500 * time.Millisecond
	// writeTime is how long before the deadline the last step is decided. Up to then the old endpoints are kept: the new
	// version may turn bad.
	writeTime = 800 * time.Millisecond
	// settleTime is how long after an outage of the store a host waits before it takes what it lacks as missing.
	settleTime = 2 * time.Second
	// maxSwitchFraction is the longest part of an order's duration for which the fleet is switched before the deadline.
	maxSwitchFraction = 0.5
	// maxAssumedRequest bounds the time that requests are assumed to take before the order has shown it.
	maxAssumedRequest = 5 * time.Second
	// minResponses is the number of the new version's responses without which there is no switch, if the old
	// version has got more than responsesFactor times as many.
	minResponses    = 12
	responsesFactor = 10
	// minSlotShare is the part of the old endpoints' slots that the new ones need.
	minSlotShare = 0.5
)

// Facts are what the next step of an order depends on.
type Facts struct {
	// NowMillis is the cluster time.
	NowMillis int64
	// FirstSeenMillis is when the deciding host first saw the order.
	FirstSeenMillis int64
	FleetKnown      bool
	// LongestTimeout is the longest timeout of a route to the fleet; zero if there is none.
	LongestTimeout time.Duration
	// InGroups is set if hosts hear of the step from their leaders.
	InGroups bool
	// Verdict is on the evidence of all hosts, and Stopped why a host has stopped; empty if none has.
	Verdict Verdict
	Stopped string
	// Requests is the number of requests since the order.
	Requests float64
	// TargetSlots and OldSlots are those of the endpoints that do not leave.
	TargetSlots, OldSlots int
	// SinceStep is the time since the deciding host has known the step.
	SinceStep time.Duration
	// SinceContact is the time since the store has answered the deciding host again; zero while it does not.
	SinceContact time.Duration
	// AllIdle is set if all hosts that may be running have reported that they send nothing to old versions and have
	// nothing in progress there, and OldRunning is the number of such requests that are known.
	AllIdle    bool
	OldRunning int
	// Silent is set if a host that may be running is not heard.
	Silent bool
	// Longest is the longest time that a request has taken at an old version.
	Longest time.Duration
}

// Decide returns the record of the next step of an order; false if it stays as it is.
func Decide(e *Entry, f *Facts) (Record, bool) {
	switch e.Step() {
	case StepNone:
		return begin(e, f), true
	case StepCanary:
		return decideCanary(e, f)
	case StepSwitch:
		return decideSwitch(e, f)
	}
	return Record{}, false
}

// begin returns the first record of an order.
func begin(e *Entry, f *Facts) Record {
	r := Record{
		Step: StepCanary, Target: e.Order.Target, DurationMillis: e.Order.Duration.Milliseconds(),
		StartMillis: f.FirstSeenMillis, Blocked: e.blocked(),
	}
	permit, ack := permitInMesh, ackTime
	if f.InGroups {
		permit, ack = permitInGroups, ackTimeInGroups
	}
	longest := maxAssumedRequest
	if f.LongestTimeout > 0 {
		longest = min(longest, f.LongestTimeout)
	}
	before := min(permit+ack+longest, time.Duration(maxSwitchFraction*float64(e.Order.Duration)))
	r.PermitMillis = permit.Milliseconds()
	r.EarliestSwitchMillis = r.StartMillis + (e.Order.Duration - before).Milliseconds()
	switch {
	case e.Invalid != "":
		r.Step, r.Reason, r.EndedMillis = StepRolledBack, e.Invalid, f.NowMillis
	case !f.FleetKnown:
		r.EndedMillis = f.NowMillis
		r.Step, r.Reason = StepRolledBack, fmt.Sprintf("fleet %q is not in the configuration", e.Order.Fleet)
	}
	return r
}

// bad returns why the new version is bad; empty if it is not.
func (f *Facts) bad() string {
	if f.Stopped != "" {
		return f.Stopped
	}
	return f.Verdict.Reason
}

func decideCanary(e *Entry, f *Facts) (Record, bool) {
	if reason := f.bad(); reason != "" {
		return e.next(f, StepRolledBack, reason), true
	}
	left := e.left(f)
	if f.NowMillis < e.Record.EarliestSwitchMillis {
		return Record{}, false
	}
	if f.OldSlots == 0 && f.TargetSlots > 0 {
		return e.next(f, StepSwitch, "no endpoint of an old version"), true
	}
	missing := f.missing()
	switch {
	case missing != "" && left <= writeTime && f.SinceContact > settleTime:
		return e.next(f, StepRolledBack, missing), true
	case missing == "" && left <= f.switchTime(e):
		return e.next(f, StepSwitch, fmt.Sprintf("%.0f good responses of %.0f", f.Verdict.Total.Since.All-f.Verdict.Total.Since.Bad, f.Verdict.Total.Since.All)), true
	}
	return Record{}, false
}

// left returns the time to the deadline of the order.
func (e *Entry) left(f *Facts) time.Duration {
	return time.Duration(e.DeadlineMillis()-f.NowMillis) * time.Millisecond
}

// missing returns what a switch lacks; empty if it lacks nothing.
func (f *Facts) missing() string {
	responses := f.Verdict.Total.Since.All
	switch {
	case f.TargetSlots == 0:
		return "no endpoint of the target"
	case float64(f.TargetSlots) < minSlotShare*float64(f.OldSlots):
		return fmt.Sprintf("too few endpoints of the target: %d slots, the old ones have %d", f.TargetSlots, f.OldSlots)
	case f.Verdict.Suspect:
		return "unexpected bad responses of the target"
	case responses < minResponses && (f.Silent || f.Requests > responsesFactor*minResponses):
		return fmt.Sprintf("too few responses of the target: %.0f", responses)
	}
	return ""
}

// switchTime returns how long before the deadline the switch begins.
func (f *Facts) switchTime(e *Entry) time.Duration {
	permit := time.Duration(e.Record.PermitMillis) * time.Millisecond
	ack := ackTime
	if f.InGroups {
		ack = ackTimeInGroups
	}
	if f.Silent || f.InGroups {
		ack = max(ack, permit+clockTolerance)
	}
	return ack + f.Longest + writeTime
}

func decideSwitch(e *Entry, f *Facts) (Record, bool) {
	if reason := f.bad(); reason != "" {
		return e.next(f, StepRolledBack, reason), true
	}
	if f.OldRunning > 0 {
		return Record{}, false
	}
	if f.OldSlots > 0 && e.left(f) > writeTime {
		return Record{}, false
	}
	permit := time.Duration(e.Record.PermitMillis) * time.Millisecond
	// In groups, a host that has just changed its leader may count twice, and another one not at all.
	if f.AllIdle && (!f.InGroups || f.SinceStep > permit+clockTolerance) {
		return e.next(f, StepCompleted, cmp.Or(e.Record.Reason, "all hosts have switched")), true
	}
	if f.SinceStep > permit+clockTolerance+f.Longest {
		return e.next(f, StepCompleted, "all hosts that are heard have switched, and the permission of the others has run out"), true
	}
	return Record{}, false
}

// next returns the record of a later step.
func (e *Entry) next(f *Facts, s Step, reason string) Record {
	r := e.Record
	r.Step, r.Reason = s, reason
	if s.Ended() {
		r.EndedMillis = f.NowMillis
	}
	return r
}
