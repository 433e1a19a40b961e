package membership

import (
	"slices"
	"strings"
	"time"

	"rattanchute/internal/gossip/digest"
)

// Timing configures how long suspicions and tombstones last.
type Timing struct {
	// SuspectTimeout is how long a member may remain suspect before it is considered dead.
	SuspectTimeout time.Duration
	// TombstoneTTL is how long the record of a dead or departed member is kept, counted from the
	// suspicion or the departure.
	TombstoneTTL time.Duration
}

// DefaultTiming is the timing that daemons use unless another one is set.
var DefaultTiming = Timing{SuspectTimeout: 6 * time.Second, TombstoneTTL: time.Hour}

// sinceResolution is the unit to which the time of a suspicion is truncated, so that nodes that
// come to the same conclusion at about the same time create equal records.
const sinceResolution = time.Minute

// MaxMembers limits the number of records in a table.
const MaxMembers = 4096

// Change reports that the liveness or the record of a member changed.
type Change struct {
	Member Member
	// Live is set if the member is considered live after the change.
	Live bool
}

// entry is a record with this node's own conclusions about the member.
type entry struct {
	record Member
	bucket int
	// suspectedAt is when this node learned of the suspicion.
	suspectedAt time.Time
	// dead is set once the suspicion has lasted for SuspectTimeout.
	dead bool
}

func (e *entry) live() bool {
	return e.record.State != StateLeft && !e.dead
}

// Table holds the records of all known members, including this node's own. It is not safe for
// concurrent use.
type Table struct {
	self    Member
	timing  Timing
	entries map[string]*entry
	// ordered holds the entries ordered by name.
	ordered []*entry
	hashes  digest.Set
	live    []Member
	// liveStale is set when live must be recomputed.
	liveStale bool
}

// NewTable returns a table that contains only the record of its own node.
func NewTable(self Member, timing Timing) *Table {
	t := &Table{self: self, timing: timing, entries: map[string]*entry{}}
	t.put(&entry{record: self})
	return t
}

// Self returns this node's own record.
func (t *Table) Self() Member { return t.self }

// Set returns the digest of all records.
func (t *Table) Set() *digest.Set { return &t.hashes }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.entries) }

// Get returns a member's record and whether the member is considered live.
func (t *Table) Get(name string) (m Member, live, known bool) {
	e, ok := t.entries[name]
	if !ok {
		return Member{}, false, false
	}
	return e.record, e.live(), true
}

// All returns all records ordered by name.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.ordered))
	for _, e := range t.ordered {
		out = append(out, e.record)
	}
	return out
}

// Bucket returns the records of one bucket of the digest.
func (t *Table) Bucket(bucket int) []Member {
	var out []Member
	for _, e := range t.ordered {
		if e.bucket == bucket {
			out = append(out, e.record)
		}
	}
	return out
}

// Merge merges a record from another node and reports whether the table changed. It ignores
// invalid and expired records and, once the table holds MaxMembers records, those of unknown
// members. If a record of this node itself would replace its own, such as one that says that it is
// suspect or has left, Merge refutes it with a higher incarnation, unless Leave was called.
func (t *Table) Merge(now time.Time, m Member) (Change, bool) {
	if !m.valid() || m.age(now) > t.timing.TombstoneTTL {
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

// Suspect marks a member as suspect because neither direct nor indirect probes reached it. It
// reports whether the table changed, which it does not if the member is unknown, already suspect
// or departed.
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

// Leave marks this node as departed. It is then no longer live in its own table.
func (t *Table) Leave(now time.Time) Change {
	t.self.State = StateLeft
	t.self.SinceMillis = now.UnixMilli()
	t.put(&entry{record: t.self})
	return Change{Member: t.self}
}

// Expire marks members as dead whose suspicion was not refuted in time, and returns them. It also
// removes the records of members that have been suspect or have left for longer than TombstoneTTL.
func (t *Table) Expire(now time.Time) []Change {
	var out []Change
	var old []*entry
	for _, e := range t.ordered {
		if e.record.State == StateAlive || e.record.Name == t.self.Name {
			continue
		}
		if e.record.age(now) > t.timing.TombstoneTTL {
			old = append(old, e)
			continue
		}
		if e.live() && now.Sub(e.suspectedAt) >= t.timing.SuspectTimeout {
			e.dead = true
			t.liveStale = true
			out = append(out, Change{Member: e.record})
		}
	}
	for _, e := range old {
		t.remove(e)
	}
	return out
}

// Live returns the live members ordered by name, including this node unless it has left. The
// caller must not modify the slice.
func (t *Table) Live() []Member {
	if !t.liveStale {
		return t.live
	}
	t.liveStale = false
	t.live = make([]Member, 0, len(t.ordered))
	for _, e := range t.ordered {
		if e.live() {
			t.live = append(t.live, e.record)
		}
	}
	return t.live
}

// Dead returns the members that are considered dead, ordered by name. Departed members are not
// among them.
func (t *Table) Dead() []Member {
	var out []Member
	for _, e := range t.ordered {
		if e.dead {
			out = append(out, e.record)
		}
	}
	return out
}

func (t *Table) put(e *entry) {
	name := e.record.Name
	e.bucket = digest.BucketOf(name)
	i, known := t.position(name)
	if known {
		t.hashes.Toggle(name, t.ordered[i].record.encode())
		t.ordered[i] = e
	} else {
		t.ordered = slices.Insert(t.ordered, i, e)
	}
	t.entries[name] = e
	t.hashes.Toggle(name, e.record.encode())
	t.liveStale = true
}

func (t *Table) remove(e *entry) {
	name := e.record.Name
	if i, known := t.position(name); known {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
	t.hashes.Toggle(name, e.record.encode())
	delete(t.entries, name)
	t.liveStale = true
}

func (t *Table) position(name string) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, name, func(e *entry, name string) int {
		return strings.Compare(e.record.Name, name)
	})
}
