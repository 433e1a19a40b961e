package member

import (
	"slices"
	"time"

	"rattanchute/internal/spread/digest"
)

// Timing bounds how long a member is held suspect and remembered.
type Timing struct {
	// SuspectTimeout is how long a suspicion may stand before the member is dead.
	SuspectTimeout time.Duration
	// ForgetAfter is how long a dead or departed member is remembered.
	ForgetAfter time.Duration
}

// DefaultTiming is what daemons use.
var DefaultTiming = Timing{SuspectTimeout: 6 * time.Second, ForgetAfter: time.Hour}

// sinceResolution makes the records of several nodes that conclude the same thing at
// about the same time equal.
const sinceResolution = time.Minute

// MaxMembers bounds the table.
const MaxMembers = 4096

// Change tells that the liveness or the record of a member changed.
type Change struct {
	Member Member
	// Live says whether the member counts as live after the change.
	Live bool
}

type entry struct {
	record Member
	// suspectedAt is when this node learned of the suspicion.
	suspectedAt time.Time
	dead        bool
}

func (e *entry) live() bool {
	return e.record.State != StateLeft && !e.dead
}

// Table holds the records of all members, its own included.
type Table struct {
	self    Member
	timing  Timing
	entries map[string]*entry
	set     digest.Set
	sorted  []string
	live    []Member
	stale   bool
}

// NewTable returns a table that knows only its own node.
func NewTable(self Member, timing Timing) *Table {
	t := &Table{self: self, timing: timing, entries: map[string]*entry{}}
	t.put(&entry{record: self})
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Member { return t.self }

// Set returns the hash of all records.
func (t *Table) Set() *digest.Set { return &t.set }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Get returns a member's record and whether it counts as live.
func (t *Table) Get(name string) (m Member, live, known bool) {
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false, false
	}
	return e.record, e.live(), true
}

// Bucket returns the records of one bucket of the set.
func (t *Table) Bucket(bucket int) []Member {
	t.refresh()
	var out []Member
	for _, name := range t.sorted {
		if digest.BucketOf(name) == bucket {
			out = append(out, t.entries[name].record)
		}
	}
	return out
}

// Merge takes in a record from another node. It reports whether the table changed.
// A record that calls this node suspect or departed is refuted by a higher incarnation.
func (t *Table) Merge(now time.Time, m Member) (Change, bool) {
	if !m.valid() || m.age(now) > t.timing.ForgetAfter {
		return Change{}, false
	}
	if m.Name == t.self.Name {
		return t.mergeSelf(now, m)
	}
	old, known := t.entries[m.Name]
	if known && !m.supersedes(old.record) {
		return Change{}, false
	}
	if !known && len(t.entries) >= MaxMembers {
		return Change{}, false
	}
	next := &entry{record: m}
	if m.State == StateSuspect {
		next.suspectedAt = now
	}
	if known && sameSuspicion(old.record, m) {
		next.suspectedAt = old.suspectedAt
		next.dead = old.dead
	}
	t.put(next)
	return Change{Member: m, Live: next.live()}, true
}

func sameSuspicion(old, m Member) bool {
	return old.Incarnation == m.Incarnation && old.State == StateSuspect && m.State == StateSuspect
}

func (t *Table) mergeSelf(now time.Time, m Member) (Change, bool) {
	if !m.supersedes(t.self) || t.self.State == StateLeft {
		return Change{}, false
	}
	t.self.Incarnation = max(m.Incarnation+1, uint64(now.UnixMilli()))
	t.put(&entry{record: t.self})
	return Change{Member: t.self, Live: true}, true
}

// Suspect records that a member did not answer, neither directly nor through others.
func (t *Table) Suspect(now time.Time, name string) (Change, bool) {
	e, ok := t.entries[name]
	if !ok || e.record.State != StateAlive {
		return Change{}, false
	}
	m := e.record
	m.State = StateSuspect
	m.SinceMillis = now.Truncate(sinceResolution).UnixMilli()
	return t.Merge(now, m)
}

// Leave records that this node departs.
func (t *Table) Leave(now time.Time) Change {
	t.self.State = StateLeft
	t.self.SinceMillis = now.UnixMilli()
	t.put(&entry{record: t.self})
	return Change{Member: t.self}
}

// Advance lets time pass: unrefuted suspicions become deaths and old records go.
func (t *Table) Advance(now time.Time) []Change {
	t.refresh()
	var out []Change
	for _, name := range t.sorted {
		e := t.entries[name]
		if name == t.self.Name || e.record.State == StateAlive {
			continue
		}
		if e.record.age(now) > t.timing.ForgetAfter {
			t.remove(e)
			continue
		}
		if e.live() && now.Sub(e.suspectedAt) >= t.timing.SuspectTimeout {
			e.dead = true
			t.stale = true
			out = append(out, Change{Member: e.record})
		}
	}
	return out
}

// Live returns the live members by name, this node included. It must not be changed.
func (t *Table) Live() []Member {
	t.refresh()
	return t.live
}

// Dead returns the members that were found dead and have not departed, by name.
func (t *Table) Dead() []Member {
	t.refresh()
	var out []Member
	for _, name := range t.sorted {
		if e := t.entries[name]; e.dead {
			out = append(out, e.record)
		}
	}
	return out
}

func (t *Table) put(e *entry) {
	name := e.record.Name
	if old, ok := t.entries[name]; ok {
		t.set.Toggle(name, old.record.encode())
	}
	t.entries[name] = e
	t.set.Toggle(name, e.record.encode())
	t.stale = true
}

func (t *Table) remove(e *entry) {
	name := e.record.Name
	t.set.Toggle(name, e.record.encode())
	delete(t.entries, name)
	t.stale = true
}

func (t *Table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.sorted = t.sorted[:0:0]
	for name := range t.entries {
		t.sorted = append(t.sorted, name)
	}
	slices.Sort(t.sorted)
	t.live = make([]Member, 0, len(t.sorted))
	for _, name := range t.sorted {
		if e := t.entries[name]; e.live() {
			t.live = append(t.live, e.record)
		}
	}
}
