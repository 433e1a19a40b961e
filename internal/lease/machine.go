package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is the stored value of a lease.
type Record struct {
	// Holder is the run of the daemon that holds the lease; empty if nobody does.
	Holder string `json:"holder"`
	// Fencing rises with each change of holder.
	Fencing uint64 `json:"fencing"`
	// WriteID is unique to one write, so that its effect can be told after a lost answer.
	WriteID string `json:"write"`
}

// Timing is how long a lease lasts, the same on every member.
type Timing struct {
	// Duration is how long a lease lasts for those who watch it.
	Duration time.Duration
	// Margin is how much earlier the holder stops; it covers clocks that run at
	// different rates.
	Margin time.Duration
}

// ActionKind is what a machine wants done.
type ActionKind int

// The actions.
const (
	// ActionNone: nothing is to be done now.
	ActionNone ActionKind = iota
	// ActionRead: read the object and call Read or Missing.
	ActionRead
	// ActionWrite: create the object if Version is zero, else update it at that version;
	// then call Wrote, Conflict or Unanswered.
	ActionWrite
)

// Action is one store call to make.
type Action struct {
	Kind    ActionKind
	Version uint64
	Record  Record
	// at is when the action was decided: a lease counts from here, before the write.
	at time.Time
	// own tells that the lease was last held by this host.
	own bool
}

// StateMachine decides for one member and one lease. It keeps no goroutine and is not safe
// for use from several.
type StateMachine struct {
	self   string
	timing Timing
	// ended reports whether a holder is a run that surely acts no more; nil knows of none.
	ended func(holder string) bool
	// newWrite returns a new unique name for a write.
	newWrite func() string

	// known says that version and record are what was last seen in the store, at seenAt.
	known   bool
	version uint64
	record  Record
	seenAt  time.Time
	// heard is a version that the holder said it had written, by heardAt.
	heard   uint64
	heardAt time.Time

	// fencing and until are the lease held; fencing is zero if none is.
	fencing uint64
	until   time.Time
	// tookFencing is the number under which the lease was last taken.
	tookFencing uint64
	// continues tells that nobody else held the lease since this host last did.
	continues bool
	// pending are the writes without an answer.
	pending  []Action
	released bool
}

// NewStateMachine makes a machine for the member self, whose name must be new for each run. A
// holder that has ended, as the function tells, is not waited for.
func NewStateMachine(self string, timing Timing, newWrite func() string, ended func(holder string) bool) *StateMachine {
	return &StateMachine{self: self, timing: timing, newWrite: newWrite, ended: ended}
}

// Valid reports whether the lease is held now, and its fencing number.
func (m *StateMachine) Valid(now time.Time) (fencing uint64, ok bool) {
	if m.fencing == 0 || m.released || !surelyBefore(now, m.until) {
		return 0, false
	}
	return m.fencing, true
}

// Release gives the lease up: it is not valid from now on, and the next action frees it.
func (m *StateMachine) Release() {
	m.released = true
}

// Next returns what to do now. A holder renews each time it is asked; others read, and
// write once they have seen no change for the lease's duration.
func (m *StateMachine) Next(now time.Time) Action {
	if !m.known {
		return Action{Kind: ActionRead, at: now}
	}
	if m.released {
		return m.nextReleased(now)
	}
	if fencing, ok := m.Valid(now); ok && m.record.Holder == m.self {
		return m.write(now, m.self, fencing)
	}
	if m.vacant(now) {
		a := m.write(now, m.self, m.record.Fencing+1)
		a.own = m.heldHere()
		return a
	}
	return Action{Kind: ActionRead, at: now}
}

// nextReleased frees the lease in the store, once.
func (m *StateMachine) nextReleased(now time.Time) Action {
	if m.record.Holder != m.self {
		return Action{Kind: ActionNone, at: now}
	}
	return m.write(now, "", m.record.Fencing)
}

// vacant reports whether the lease may be taken: nobody holds it, or nobody has renewed
// it for as long as it lasts. A lease of one's own that has lapsed is vacant at once, and so
// is that of a run that has ended.
func (m *StateMachine) vacant(now time.Time) bool {
	if m.record.Holder == "" || m.heldHere() {
		return true
	}
	since := m.seenAt
	if m.version == m.heard && m.heardAt.Before(since) {
		since = m.heardAt
	}
	return !now.Before(since.Add(m.timing.Duration))
}

// heldHere reports whether the stored holder is this run or one of this host that has ended.
func (m *StateMachine) heldHere() bool {
	return m.record.Holder == m.self || m.ended != nil && m.ended(m.record.Holder)
}

// Uninterrupted reports whether nobody else held the lease since this host last did.
func (m *StateMachine) Uninterrupted() bool { return m.continues }

// OnReport takes in that a holder says it has written a version: what is stored at that version
// is at least that old.
func (m *StateMachine) OnReport(version uint64, now time.Time) {
	if version > m.heard {
		m.heard, m.heardAt = version, now
	}
}

// HeldVersion is the stored version of the lease that is held now; zero if none is.
func (m *StateMachine) HeldVersion(now time.Time) uint64 {
	if _, ok := m.Valid(now); !ok || m.record.Holder != m.self {
		return 0
	}
	return m.version
}

func (m *StateMachine) write(now time.Time, holder string, fencing uint64) Action {
	record := Record{Holder: holder, Fencing: fencing, WriteID: m.newWrite()}
	return Action{Kind: ActionWrite, Version: m.version, Record: record, at: now}
}

// OnMissing takes in that the object does not exist. The fencing number goes on from the
// last one seen, should the object have been deleted.
func (m *StateMachine) OnMissing(now time.Time) {
	m.saw(0, Record{Fencing: m.record.Fencing}, now)
}

// OnRead takes in the stored object.
func (m *StateMachine) OnRead(version uint64, value json.RawMessage, now time.Time) error {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("lease value: %w", err)
	}
	m.saw(version, record, now)
	for _, a := range m.pending {
		if a.Record.WriteID == record.WriteID {
			m.took(a)
		}
	}
	if version > 0 && m.fencing > 0 && record.Fencing > m.fencing {
		// Somebody else has taken the lease.
		m.fencing = 0
	}
	return nil
}

// OnWritten takes in that a write took effect, at the version it made.
func (m *StateMachine) OnWritten(a Action, version uint64, now time.Time) {
	m.saw(version, a.Record, now)
	m.took(a)
}

// OnConflict takes in that a write was refused because the object has changed.
func (m *StateMachine) OnConflict() {
	m.known = false
}

// Unanswered takes in that a write may or may not have taken effect, or may still.
func (m *StateMachine) Unanswered(a Action) {
	m.known = false
	m.pending = append(m.pending, a)
}

// saw notes what is stored. The time of the first sight is kept while nothing changes.
func (m *StateMachine) saw(version uint64, record Record, now time.Time) {
	if version != m.version || m.seenAt.IsZero() {
		m.seenAt = now
		m.prune(version)
	}
	m.known = true
	m.version = version
	m.record = record
}

// prune forgets unanswered writes that can no longer take effect: those at a version
// that has been replaced, but for the one that may have replaced it.
func (m *StateMachine) prune(version uint64) {
	kept := m.pending[:0]
	for _, a := range m.pending {
		if a.Version >= m.version {
			kept = append(kept, a)
		}
	}
	m.pending = kept
}

// took counts the lease from when the write was decided.
func (m *StateMachine) took(a Action) {
	if a.Record.Holder != m.self {
		m.fencing = 0
		return
	}
	if m.fencing != a.Record.Fencing && m.tookFencing != a.Record.Fencing {
		m.continues = a.own
	}
	m.fencing, m.tookFencing = a.Record.Fencing, a.Record.Fencing
	m.until = a.at.Add(m.timing.Duration - m.timing.Margin)
}

// surelyBefore compares by the monotonic clock and by the wall clock: the monotonic clock
// of a host that was suspended may have stood still.
func surelyBefore(now, limit time.Time) bool {
	return now.Before(limit) && now.Round(0).Before(limit.Round(0))
}

// encode returns the stored form of the record.
func (r Record) encode() (json.RawMessage, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease value: %w", err)
	}
	return value, nil
}
