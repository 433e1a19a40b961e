package lease

import (
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/objectstore"
)

// init fixes the seed of the property tests unless a flag on the command line sets another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var testTiming = Timing{Duration: 10 * time.Second, Margin: time.Second}

// store holds the objects of the lease, with the writes that are still in transit.
type store struct {
	contents
	era           uint64
	copies        []contents
	delayedWrites []Action
}

// contents is what a copy of the store holds: the objects by the era in their name.
type contents struct {
	revision uint64
	objects  map[uint64]object
}

// object is a stored lease. Its revision is zero if it does not exist.
type object struct {
	revision uint64
	record   Record
}

// apply performs a write if its condition holds. A store compares only revisions: its era is no part of a
// condition.
func (s *store) apply(a Action) bool {
	if a.Version.Revision() != s.objects[a.Era].revision {
		return false
	}
	s.revision++
	s.objects[a.Era] = object{s.revision, a.Record}
	return true
}

func (s *store) version(era uint64) objectstore.Version {
	return objectstore.NewVersion(s.era, s.objects[era].revision)
}

func (s *store) copy() {
	s.copies = append(s.copies, contents{s.revision, maps.Clone(s.objects)})
}

// restore replaces the contents by an earlier copy. Other objects may be written right after.
func (s *store) restore(from contents, otherWrites int) {
	s.contents = contents{from.revision + uint64(otherWrites), maps.Clone(from.objects)}
	s.era++
}

// member is a state machine on a host whose clock is wrong by clockOffset.
type member struct {
	*StateMachine
	clockOffset time.Duration
	// host is the same for all runs of a host; the names of runs are "host/run".
	host     string
	runCount int
}

// start replaces the state machine by that of a new run, which knows that the earlier runs have
// ended.
func (m *member) start(newWriteID func() string) {
	m.runCount++
	own := m.host + "/"
	m.StateMachine = NewStateMachine(fmt.Sprint(own, m.runCount), testTiming, newWriteID, func(holder string) bool {
		return strings.HasPrefix(holder, own) && holder != fmt.Sprint(own, m.runCount)
	})
}

// TestAtMostOneValidHolder runs several state machines, with clocks that disagree, through lost,
// delayed and refused writes, pauses and restarts, and restores of the store from older copies. At any
// time, at most one member may hold a valid lease, and its fencing token must not be lower than that of
// any earlier holder.
func TestAtMostOneValidHolder(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		stored := &store{
			contents: contents{objects: map[uint64]object{}},
			era:      uint64(rapid.IntRange(0, 1).Draw(t, "era")),
		}
		serial := 0
		newWriteID := func() string { serial++; return fmt.Sprint("w", serial) }
		var members []*member
		for i := range 3 {
			clockOffset := time.Duration(rapid.IntRange(-100, 100).Draw(t, "offset")) * time.Minute
			members = append(members, &member{clockOffset: clockOffset, host: fmt.Sprint("m", i)})
			members[i].start(newWriteID)
		}
		var highestFencing uint64
		holderOf := map[uint64]*StateMachine{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 300, 1500, 3000, 12000}).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
				stored.copy()
			}
			if len(stored.copies) > 0 && rapid.IntRange(0, 25).Draw(t, "restore") == 0 {
				seen["restored"]++
				before := stored.objects[stored.era].record.Holder
				from := rapid.SampledFrom(stored.copies).Draw(t, "from")
				stored.restore(from, rapid.IntRange(0, 2).Draw(t, "other writes"))
				if before != "" {
					seen["holder lost in a restore"]++
				}
			}
			m := members[rapid.IntRange(0, 2).Draw(t, "member")]
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				seen["restarted"]++
				if m.record.Holder == m.self {
					seen["holder restarted"]++
				}
				m.start(newWriteID)
			}
			step(t, m, stored, now, seen)
			deliverReports(t, members, m, now, seen)
			holders := 0
			for _, other := range members {
				fencing, ok := other.Valid(now.Add(other.clockOffset))
				if !ok {
					continue
				}
				holders++
				if fencing < highestFencing {
					t.Fatalf("order with fencing %d after %d", fencing, highestFencing)
				}
				if holderOf[fencing] != nil && holderOf[fencing] != other.StateMachine {
					t.Fatalf("fencing %d given to two members", fencing)
				}
				holderOf[fencing] = other.StateMachine
				if fencing > highestFencing {
					seen["change of holder"]++
				}
				highestFencing = fencing
			}
			if holders > 1 {
				t.Fatalf("%d valid holders", holders)
			}
		}
	})
	for _, what := range []string{"answer lost", "write lands late", "late write refused", "conflict", "lost write",
		"paused over the write", "held", "change of holder", "released", "read unanswered", "restarted", "holder restarted",
		"heard of a holder", "restored", "holder lost in a restore", "restore overtook a write"} {
		t.Logf("%-24s %d", what, seen[what])
		if seen[what] == 0 {
			t.Errorf("never happened: %s", what)
		}
	}
}

// deliverReports lets the other members receive the report of a holder, unless the message is lost.
func deliverReports(t *rapid.T, members []*member, holder *member, now time.Time, seen map[string]int) {
	version := holder.HeldVersion(now.Add(holder.clockOffset))
	for _, m := range members {
		if m != holder && version > 0 && rapid.Bool().Draw(t, "heard") {
			seen["heard of a holder"]++
			m.OnReport(version, now.Add(m.clockOffset))
		}
	}
}

// step performs the next action of one member, with a fault drawn at random. Before that it may let
// a delayed write reach the store, and may release the member's lease.
func step(t *rapid.T, m *member, stored *store, now time.Time, seen map[string]int) {
	if len(stored.delayedWrites) > 0 && rapid.Bool().Draw(t, "land") {
		if !stored.apply(stored.delayedWrites[0]) {
			seen["late write refused"]++
		}
		stored.delayedWrites = stored.delayedWrites[1:]
	}
	if rapid.IntRange(0, 60).Draw(t, "release") == 0 {
		seen["released"]++
		m.Release()
	}
	local := now.Add(m.clockOffset)
	a := m.Next(local)
	object := stored.objects[a.Era]
	fault := rapid.IntRange(0, 7).Draw(t, "fault")
	switch {
	case a.Kind == ActionRead && fault == 0:
		seen["read unanswered"]++
	case a.Kind == ActionNone:
	case a.Era != stored.era && (a.Kind == ActionRead || fault > 2):
		// The answer shows the new era. The write may have taken effect on an object that nobody else uses.
		if a.Kind == ActionWrite && stored.apply(a) {
			seen["restore overtook a write"]++
		}
		m.ObserveEra(stored.era, local)
	case a.Kind == ActionRead && object.revision == 0:
		m.OnMissing(local)
	case a.Kind == ActionRead:
		value, _ := object.record.encode()
		if err := m.OnRead(stored.version(a.Era), value, local); err != nil {
			t.Fatal(err)
		}
	case fault == 0:
		seen["answer lost"]++
		stored.apply(a)
		m.Unanswered(a)
	case fault == 1:
		seen["write lands late"]++
		stored.delayedWrites = append(stored.delayedWrites, a)
		m.Unanswered(a)
	case fault == 2:
		seen["lost write"]++
		m.Unanswered(a)
	case !stored.apply(a):
		seen["conflict"]++
		m.OnConflict()
	case fault == 3:
		// The answer is received only after a pause longer than the lease.
		seen["paused over the write"]++
		m.OnWritten(a, stored.version(a.Era), local.Add(2*testTiming.Duration))
		if _, ok := m.Valid(local.Add(2 * testTiming.Duration)); ok {
			t.Fatal("valid after a pause")
		}
	default:
		m.OnWritten(a, stored.version(a.Era), local)
		if _, ok := m.Valid(local); ok {
			seen["held"]++
		}
	}
}

func TestFencingContinuesAfterDeletion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	m := NewStateMachine("m", testTiming, func() string { return "w" }, nil)
	value, err := Record{Holder: "other", Fencing: 7}.encode()
	is.NoErr(err)
	is.NoErr(m.OnRead(3, value, now))
	is.Equal(m.Next(now).Kind, ActionRead)
	m.OnMissing(now)
	is.Equal(m.Next(now).Record.Fencing, uint64(8))
}

// TestLeaseOfEarlierRunIsTakenOverAtOnce guards against a needless wait after all hosts lost power:
// the host of the holder takes its own lease over at once, and the others wait until the lease has
// expired.
func TestLeaseOfEarlierRunIsTakenOverAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	newWriteID := func() string { return "w" }
	value, err := Record{Holder: "a/1", Fencing: 7}.encode()
	is.NoErr(err)
	restarted := &member{host: "a", runCount: 1}
	restarted.start(newWriteID)
	is.NoErr(restarted.OnRead(3, value, now))
	a := restarted.Next(now)
	is.Equal(a.Kind, ActionWrite)
	is.Equal(a.Record.Fencing, uint64(8))
	other := &member{host: "b"}
	other.start(newWriteID)
	is.NoErr(other.OnRead(3, value, now))
	is.Equal(other.Next(now).Kind, ActionRead)
}

// TestLeaseExpiresFromLastReportOfHolder checks that, once the holder is silent, a member does not
// wait for the whole duration after it first reads the lease: the wait starts at the holder's last
// report.
func TestLeaseExpiresFromLastReportOfHolder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	m := NewStateMachine("m", testTiming, func() string { return "w" }, nil)
	value, err := Record{Holder: "other", Fencing: 7}.encode()
	is.NoErr(err)
	m.OnReport(3, now)
	later := now.Add(testTiming.Duration - time.Second)
	is.NoErr(m.OnRead(3, value, later))
	is.Equal(m.Next(later).Kind, ActionRead)
	is.Equal(m.Next(now.Add(testTiming.Duration)).Kind, ActionWrite)
	// A version that was written after the report is newer than the report.
	is.NoErr(m.OnRead(4, value, later))
	is.Equal(m.Next(now.Add(testTiming.Duration)).Kind, ActionRead)
}

// TestHolderWritesALostLeaseAgain checks that after a restore of the store that lost its lease, a holder
// goes on under the same fencing token, and that the others wait as long as such a holder may be valid.
func TestHolderWritesALostLeaseAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	newWriteID := func() string { return "w" }
	holder, other := &member{host: "a"}, &member{host: "b"}
	for _, m := range []*member{holder, other} {
		m.start(newWriteID)
		m.AssumeFirstStart()
		m.ObserveEra(1, now)
		m.OnMissing(now)
	}
	a := holder.Next(now)
	is.Equal(a.Kind, ActionWrite)
	holder.OnWritten(a, objectstore.NewVersion(1, 7), now)
	fencing, ok := holder.Valid(now)
	is.True(ok)
	is.True(holder.Uninterrupted()) // the first holder ever

	restored := now.Add(time.Second)
	for _, m := range []*member{holder, other} {
		m.ObserveEra(2, restored)
		is.Equal(m.Next(restored).Kind, ActionRead)
		m.OnMissing(restored)
	}
	again := holder.Next(restored)
	is.Equal(again.Kind, ActionWrite)
	is.Equal(again.Record.Fencing, fencing)
	holder.OnWritten(again, objectstore.NewVersion(2, 7), restored)
	_, ok = holder.Valid(restored.Add(testTiming.Duration - 2*testTiming.Margin))
	is.True(ok)

	// Without the holder, the lease is available once nobody can hold it, under a higher token.
	expired := restored.Add(testTiming.Duration)
	is.Equal(other.Next(expired.Add(-time.Millisecond)).Kind, ActionRead)
	taken := other.Next(expired)
	is.Equal(taken.Kind, ActionWrite)
	is.True(taken.Record.Fencing > fencing)
}
