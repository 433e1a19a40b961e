package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"rattanchute/internal/objectstore"
)

// StateMachine makes the decisions of one member about one lease. It starts no goroutine and is not
// safe for concurrent use.
type StateMachine struct {
	self   string
	timing Timing
	// hasEnded reports whether a holder is an earlier run of this host, which has ended; nil means
	// that this is never known.
	hasEnded func(holder string) bool
	// newWriteID returns a new unique ID for a write.
	newWriteID func() string
	// firstStart indicates that the system has never run before, so that in the first era that this
	// member sees a missing object shows that there is no holder.
	firstStart bool

	// eraKnown is set with the first answer of the store. firstEra and era are the eras of the first and
	// the newest answer, and eraSeenAt is when era was first seen.
	eraKnown  bool
	firstEra  uint64
	era       uint64
	eraSeenAt time.Time

	// known indicates that version and record are what the store last answered; it is false at the
	// start and after a write that was refused or not answered. seenAt is when the version was first
	// seen.
	known   bool
	version objectstore.Version
	record  Record
	seenAt  time.Time
	// reportedVersion is the latest version that a holder reported to have written, and reportedAt
	// when its first report of that version arrived.
	reportedVersion objectstore.Version
	reportedAt      time.Time

	// fencing and validUntil describe the lease that this member last acquired or renewed. fencing
	// is zero if there is none, or if it is known to be released or acquired by another member.
	fencing    uint64
	validUntil time.Time
	// lastFencing is the fencing token with which this member last acquired the lease.
	lastFencing uint64
	// uninterrupted indicates that this host, when it last acquired the lease, took it over from
	// itself or was the first holder ever.
	uninterrupted bool
	// unanswered are the writes that got no answer and may have taken effect, or may still do so.
	unanswered []Action
	released   bool
}

// NewStateMachine returns a state machine for the member self, whose name must be new for each run.
// hasEnded returns true for earlier runs of this host that have ended, whose lease is taken over
// without waiting until it expires. It may be nil.
func NewStateMachine(self string, timing Timing, newWriteID func() string, hasEnded func(holder string) bool) *StateMachine {
	return &StateMachine{self: self, timing: timing, newWriteID: newWriteID, hasEnded: hasEnded}
}

// AssumeFirstStart states that the system has never run before.
func (m *StateMachine) AssumeFirstStart() { m.firstStart = true }

// ObserveEra records that the store has answered in an era, which begins when the store is restored from
// an older copy. What was stored in earlier eras no longer counts.
func (m *StateMachine) ObserveEra(era uint64, now time.Time) {
	if m.eraKnown && era <= m.era {
		return
	}
	if !m.eraKnown {
		m.eraKnown, m.firstEra = true, era
	}
	m.era, m.eraSeenAt = era, now
	m.known, m.version, m.seenAt = false, 0, time.Time{}
	m.record = Record{Fencing: m.record.Fencing}
	m.unanswered = nil
}

// Valid reports whether this member holds the lease now, and returns the fencing token if so.
func (m *StateMachine) Valid(now time.Time) (fencing uint64, ok bool) {
	if m.fencing == 0 || m.released || !beforeOnBothClocks(now, m.validUntil) {
		return 0, false
	}
	return m.fencing, true
}

// Release gives up the lease for good. It is invalid here from now on, and the following actions
// free it in the store if this member is still stored as its holder.
func (m *StateMachine) Release() {
	m.released = true
}

// Next returns the next action. If it is not known what is stored, that is to read the object.
// Otherwise a holder renews its lease on each call while the lease is valid, and other members read
// it until it is available and then try to acquire it. After Release, the lease is only freed. A holder
// whose valid lease the store has lost in a restore writes it again.
func (m *StateMachine) Next(now time.Time) Action {
	if !m.known {
		return m.readAction(now)
	}
	if m.released {
		return m.nextAfterRelease(now)
	}
	if fencing, ok := m.Valid(now); ok && (m.record.Holder == m.self || m.version == 0) {
		return m.writeAction(now, m.self, fencing)
	}
	if m.isAvailable(now) {
		a := m.writeAction(now, m.self, m.nextFencing())
		a.continues = m.isHeldHere() || m.neverHeld()
		return a
	}
	return m.readAction(now)
}

func (m *StateMachine) readAction(now time.Time) Action {
	return Action{Kind: ActionRead, Era: m.era, decidedAt: now}
}

// nextAfterRelease returns the write that frees the lease in the store, or no action if this member
// is not stored as the holder.
func (m *StateMachine) nextAfterRelease(now time.Time) Action {
	if m.record.Holder != m.self {
		return Action{Kind: ActionNone, decidedAt: now}
	}
	return m.writeAction(now, "", m.record.Fencing)
}

// fencingEraBits is the number of bits of a fencing token that count acquisitions within one era of the
// store. The bits above them hold the era, so that tokens rise although the store has lost the last one.
const fencingEraBits = 20

// nextFencing returns the fencing token of an acquisition.
func (m *StateMachine) nextFencing() uint64 {
	return max(m.record.Fencing, m.era<<fencingEraBits) + 1
}

// neverHeld reports whether the object is missing because no member has held the lease before, rather
// than because the store was restored: the store has no eras, or the system has just been started for
// the first time.
func (m *StateMachine) neverHeld() bool {
	return m.version == 0 && m.record.Fencing == 0 && (m.era == 0 || m.firstStart && m.era == m.firstEra)
}

// isAvailable reports whether the lease may be acquired: it has no holder, or this member has seen
// no renewal for its duration. An expired lease of this run is available at once, and so is the
// lease of an earlier run of this host that has ended. If the object is missing, a member that acquired
// the lease before a restore of the store may hold it until its duration has passed.
func (m *StateMachine) isAvailable(now time.Time) bool {
	if m.version == 0 && m.era > 0 && !m.neverHeld() {
		return !now.Before(m.eraSeenAt.Add(m.timing.Duration))
	}
	if m.record.Holder == "" || m.isHeldHere() {
		return true
	}
	since := m.seenAt
	if m.version == m.reportedVersion && m.reportedAt.Before(since) {
		since = m.reportedAt
	}
	return !now.Before(since.Add(m.timing.Duration))
}

// isHeldHere reports whether the stored holder is this run, or an earlier run of this host that has
// ended.
func (m *StateMachine) isHeldHere() bool {
	return m.record.Holder == m.self || m.hasEnded != nil && m.hasEnded(m.record.Holder)
}

// Uninterrupted reports whether this host, when it last acquired the lease, took it over from
// itself, so that no other host held it in between, or was the first holder ever. What happened after
// the acquisition does not matter.
func (m *StateMachine) Uninterrupted() bool { return m.uninterrupted }

// OnReport records that a holder reports to have written a version. The version was therefore
// written before the report arrived.
func (m *StateMachine) OnReport(version objectstore.Version, now time.Time) {
	if version > m.reportedVersion {
		m.reportedVersion, m.reportedAt = version, now
	}
}

// HeldVersion returns the stored version of the lease if this member holds it now; zero otherwise.
func (m *StateMachine) HeldVersion(now time.Time) objectstore.Version {
	if _, ok := m.Valid(now); !ok || m.record.Holder != m.self {
		return 0
	}
	return m.version
}

func (m *StateMachine) writeAction(now time.Time, holder string, fencing uint64) Action {
	record := Record{Holder: holder, Fencing: fencing, WriteID: m.newWriteID()}
	return Action{Kind: ActionWrite, Era: m.era, Version: m.version, Record: record, decidedAt: now}
}

// OnMissing records that the object does not exist. If it was deleted, the next acquisition
// continues from the last fencing token seen here.
func (m *StateMachine) OnMissing(now time.Time) {
	m.observe(0, Record{Fencing: m.record.Fencing}, now)
}

// OnRead records the stored object. It returns an error, and records nothing, if the value is not a
// lease.
func (m *StateMachine) OnRead(version objectstore.Version, value json.RawMessage, now time.Time) error {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("lease value: %w", err)
	}
	m.observe(version, record, now)
	for _, a := range m.unanswered {
		if a.Record.WriteID == record.WriteID {
			m.recordOwnWrite(a)
		}
	}
	if version > 0 && m.fencing > 0 && record.Fencing > m.fencing {
		// Another member has acquired the lease.
		m.fencing = 0
	}
	return nil
}

// OnWritten records that a write took effect and created the given version.
func (m *StateMachine) OnWritten(a Action, version objectstore.Version, now time.Time) {
	m.observe(version, a.Record, now)
	m.recordOwnWrite(a)
}

// OnConflict records that a write was refused because the object has changed.
func (m *StateMachine) OnConflict() {
	m.known = false
}

// Unanswered records that a write got no answer: it may have taken effect, or may still do so.
func (m *StateMachine) Unanswered(a Action) {
	m.known = false
	m.unanswered = append(m.unanswered, a)
}

// observe records what is stored. While the version does not change, seenAt stays the time at which
// it was first seen.
func (m *StateMachine) observe(version objectstore.Version, record Record, now time.Time) {
	if version != m.version || m.seenAt.IsZero() {
		m.seenAt = now
		m.prune()
	}
	m.known = true
	m.version = version
	m.record = record
}

// prune drops unanswered writes that can no longer take effect, because the version that they were
// to replace has been replaced. It is called before m.version changes, and keeps the writes that
// were to replace m.version, since one of them may have written the new version.
func (m *StateMachine) prune() {
	kept := m.unanswered[:0]
	for _, a := range m.unanswered {
		if a.Version >= m.version {
			kept = append(kept, a)
		}
	}
	m.unanswered = kept
}

// recordOwnWrite records the effect of a write of this member, which acquires, renews or frees the
// lease. Its duration counts from when the write was decided.
func (m *StateMachine) recordOwnWrite(a Action) {
	if a.Record.Holder != m.self {
		m.fencing = 0
		return
	}
	if m.fencing != a.Record.Fencing && m.lastFencing != a.Record.Fencing {
		m.uninterrupted = a.continues
	}
	m.fencing, m.lastFencing = a.Record.Fencing, a.Record.Fencing
	m.validUntil = a.decidedAt.Add(m.timing.Duration - m.timing.Margin)
}

// beforeOnBothClocks compares by the monotonic clock and by the wall clock, because the monotonic
// clock of a suspended host may have stopped.
func beforeOnBothClocks(now, limit time.Time) bool {
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
