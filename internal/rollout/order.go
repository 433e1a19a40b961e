package rollout

import (
	"fmt"
	"time"

	"rattanchute/internal/objectstore"
)

// Order is what an operator orders: that all requests of a fleet go to one software version.
type Order struct {
	Fleet  string `json:"fleet"`
	Target string `json:"target"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `json:"duration"`
}

// Step is how far an order has come.
type Step int

// The steps. An order goes from StepCanary to StepSwitch to StepCompleted, or from any of the first two to
// StepRolledBack.
const (
	// StepNone: nothing is decided.
	StepNone Step = iota
	// StepCanary: a bounded share of the requests goes to the new version.
	StepCanary
	// StepSwitch: no request goes to an old version; those in progress there end.
	StepSwitch
	// StepCompleted: the old endpoints stop.
	StepCompleted
	// StepRolledBack: the new endpoints leave.
	StepRolledBack
)

var stepNames = [...]string{"none", "canary", "switch", "completed", "rolled_back"}

// String returns the name of the step, as in logs.
func (s Step) String() string {
	if s < 0 || int(s) >= len(stepNames) {
		return "unknown"
	}
	return stepNames[s]
}

// Ended reports whether no further step follows.
func (s Step) Ended() bool { return s == StepCompleted || s == StepRolledBack }

// Record is the stored state of an order. Times are cluster times in Unix milliseconds.
type Record struct {
	Step   Step   `json:"step"`
	Target string `json:"target"`
	// DurationMillis is that of the order which the record belongs to.
	DurationMillis int64 `json:"duration_ms"`
	// StartMillis is when the order was first seen. It distinguishes orders for the same target.
	StartMillis int64 `json:"start_ms,omitempty"`
	// EarliestSwitchMillis is before any write of StepSwitch, and PermitMillis for how long a confirmation of an
	// earlier step permits requests to the old version after that time.
	EarliestSwitchMillis int64 `json:"earliest_switch_ms,omitempty"`
	PermitMillis         int64 `json:"permit_ms,omitempty"`
	// EndedMillis is when the order ended; zero before.
	EndedMillis int64 `json:"ended_ms,omitempty"`
	// Blocked are targets of earlier orders that did not complete.
	Blocked []string `json:"blocked,omitempty"`
	// Reason says why the order is at this step.
	Reason string `json:"reason,omitempty"`
	// Holder and Fencing are those of the host that decided the step.
	Holder  string `json:"holder,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
}

// Entry is an order as it is stored.
type Entry struct {
	Name    string              `json:"name"`
	Version objectstore.Version `json:"version"`
	Order   Order               `json:"order"`
	// Invalid says why the order cannot be carried out; empty if it can.
	Invalid string `json:"invalid,omitempty"`
	Record  Record `json:"record"`
}

// NewEntry returns the entry of an order that was stored under a name. An order that could not be read, or that cannot
// be carried out, has the reason in Invalid.
func NewEntry(name string, o Order, readErr error) Entry {
	if readErr != nil {
		unread := Order{Duration: o.Duration}
		return Entry{Name: name, Order: unread, Invalid: fmt.Sprintf("order cannot be read: %v", readErr)}
	}
	return Entry{Name: name, Order: o, Invalid: o.check(name)}
}

// check returns why an order cannot be carried out; empty if it can.
func (o *Order) check(name string) string {
	switch {
	case o.Fleet != name:
		return fmt.Sprintf("fleet %q is not the name of the order", o.Fleet)
	case o.Target == "":
		return "no target"
	case o.Duration <= 0:
		return "no positive duration"
	}
	return ""
}

// maxDuration bounds the duration of an order, so that it fits into a time.Duration.
const maxDuration = 365 * 24 * time.Hour

// Duration returns the duration of an order in seconds; zero if it is not positive.
func Duration(seconds float64) time.Duration {
	if !(seconds > 0) { // also true for "NaN"
		return 0
	}
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

// IsNew reports whether nothing is decided about the order yet: the record is missing, belongs to an order for
// another target, or has ended for another duration.
func (e *Entry) IsNew() bool {
	r := &e.Record
	return r.Step == StepNone || r.Target != e.Order.Target ||
		r.Step.Ended() && r.DurationMillis != e.Order.Duration.Milliseconds()
}

// Step returns the step of the order.
func (e *Entry) Step() Step {
	if e.IsNew() {
		return StepNone
	}
	return e.Record.Step
}

// DeadlineMillis is when the order has to have ended, as a cluster time.
func (e *Entry) DeadlineMillis() int64 {
	return e.Record.StartMillis + e.Order.Duration.Milliseconds()
}

// blocked returns the versions that an order for the target leaves without requests: targets that earlier orders
// have not completed.
func (e *Entry) blocked() []string {
	var out []string
	for _, v := range e.Record.Blocked {
		if v != e.Order.Target {
			out = append(out, v)
		}
	}
	r := &e.Record
	if e.IsNew() && r.Step != StepNone && r.Step != StepCompleted && r.Target != e.Order.Target {
		out = append(out, r.Target)
	}
	const most = 8
	return out[max(len(out)-most, 0):]
}
