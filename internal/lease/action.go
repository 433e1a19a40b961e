package lease

import (
	"time"

	"rattanchute/internal/objectstore"
)

// Record is the stored value of a lease.
type Record struct {
	// Holder is the run of the daemon that holds the lease; empty if no run does.
	Holder string `json:"holder"`
	// Fencing is the fencing token. It increases with each acquisition; renewals and releases keep
	// it.
	Fencing uint64 `json:"fencing"`
	// WriteID is unique to one write. If the answer to a write was lost, it shows in the stored
	// record whether the write took effect.
	WriteID string `json:"write"`
}

// Timing is the timing of a lease. It has to be the same on every member.
type Timing struct {
	// Duration is how long other members respect a lease that is neither renewed nor released.
	Duration time.Duration
	// Margin is how much earlier the lease ends for its holder. It allows for clocks that run at
	// different rates.
	Margin time.Duration
}

// ActionKind says which store call an Action asks for, if any.
type ActionKind int

// The kinds of actions.
const (
	// ActionNone: nothing has to be done now.
	ActionNone ActionKind = iota
	// ActionRead: read the object and call OnRead or OnMissing, or neither if there is no answer.
	ActionRead
	// ActionWrite: create the object if Version is zero, or else update it at that version; then
	// call OnWritten, OnConflict or Unanswered, or none of them if the write certainly had no
	// effect.
	ActionWrite
)

// Action is the store call to make next; Version and Record are set for ActionWrite.
type Action struct {
	Kind ActionKind
	// Era is the era of the store in which the call is to take effect. Each era has its own object, so
	// that a member that has not noticed a restore of the store cannot overwrite the lease of the others.
	Era     uint64
	Version objectstore.Version
	Record  Record
	// decidedAt is when the action was decided. The duration of a lease counts from this time, which
	// is before the write is sent.
	decidedAt time.Time
	// continues indicates that an acquisition replaces a holder that is this run, or an earlier run
	// of this host that has ended, or that there was no holder before.
	continues bool
}
