package lease

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed of the properties; a flag on the command line wins.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var testTiming = Timing{Duration: 10 * time.Second, Margin: time.Second}

// object is the stored lease, with the writes that are still under way.
type object struct {
	version uint64
	record  Record
	late    []Action
}

func (o *object) apply(a Action) bool {
	if a.Version != o.version {
		return false
	}
	o.version++
	o.record = a.Record
	return true
}

// member is a machine on a host whose clock is off by some time.
type member struct {
	*StateMachine
	offset time.Duration
	// host is the same for all runs of a host, whose names are "host/run".
	host string
	runs int
}

// start replaces the machine by that of a new run, for which the earlier ones have ended.
func (m *member) start(newWrite func() string) {
	m.runs++
	own := m.host + "/"
	m.StateMachine = NewStateMachine(fmt.Sprint(own, m.runs), testTiming, newWrite, func(holder string) bool {
		return strings.HasPrefix(holder, own) && holder != fmt.Sprint(own, m.runs)
	})
}

// TestOneValidHolder drives several machines, with clocks that do not agree, through
// lost, late and refused writes and pauses. At most one lease is valid at any moment,
// and fencing numbers only rise.
func TestOneValidHolder(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		stored := &object{}
		serial := 0
		newWrite := func() string { serial++; return fmt.Sprint("w", serial) }
		var members []*member
		for i := range 3 {
			offset := time.Duration(rapid.IntRange(-100, 100).Draw(t, "offset")) * time.Minute
			members = append(members, &member{offset: offset, host: fmt.Sprint("m", i)})
			members[i].start(newWrite)
		}
		var highest uint64
		given := map[uint64]*StateMachine{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 300, 1500, 3000, 12000}).Draw(t, "ms")) * time.Millisecond)
			m := members[rapid.IntRange(0, 2).Draw(t, "member")]
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				seen["restarted"]++
				if m.record.Holder == m.self {
					seen["holder restarted"]++
				}
				m.start(newWrite)
			}
			step(t, m, stored, now, seen)
			tell(t, members, m, now, seen)
			holders := 0
			for _, other := range members {
				fencing, ok := other.Valid(now.Add(other.offset))
				if !ok {
					continue
				}
				holders++
				if fencing < highest {
					t.Fatalf("order with fencing %d after %d", fencing, highest)
				}
				if given[fencing] != nil && given[fencing] != other.StateMachine {
					t.Fatalf("fencing %d given to two members", fencing)
				}
				given[fencing] = other.StateMachine
				if fencing > highest {
					seen["change of holder"]++
				}
				highest = fencing
			}
			if holders > 1 {
				t.Fatalf("%d valid holders", holders)
			}
		}
	})
	for _, what := range []string{"answer lost", "write lands late", "late write refused", "conflict", "lost write",
		"paused over the write", "held", "change of holder", "released", "read unanswered", "restarted", "holder restarted",
		"heard of a holder"} {
		t.Logf("%-24s %d", what, seen[what])
		if seen[what] == 0 {
			t.Errorf("never happened: %s", what)
		}
	}
}

// tell has the others hear what a holder says, unless the message is lost.
func tell(t *rapid.T, members []*member, from *member, now time.Time, seen map[string]int) {
	version := from.HeldVersion(now.Add(from.offset))
	for _, m := range members {
		if m != from && version > 0 && rapid.Bool().Draw(t, "heard") {
			seen["heard of a holder"]++
			m.OnReport(version, now.Add(m.offset))
		}
	}
}

// step lets one member make one store call.
func step(t *rapid.T, m *member, stored *object, now time.Time, seen map[string]int) {
	if len(stored.late) > 0 && rapid.Bool().Draw(t, "land") {
		if !stored.apply(stored.late[0]) {
			seen["late write refused"]++
		}
		stored.late = stored.late[1:]
	}
	if rapid.IntRange(0, 60).Draw(t, "release") == 0 {
		seen["released"]++
		m.Release()
	}
	local := now.Add(m.offset)
	a := m.Next(local)
	fault := rapid.IntRange(0, 7).Draw(t, "fault")
	switch {
	case a.Kind == ActionRead && fault == 0:
		seen["read unanswered"]++
	case a.Kind == ActionRead && stored.version == 0:
		m.OnMissing(local)
	case a.Kind == ActionRead:
		value, _ := stored.record.encode()
		if err := m.OnRead(stored.version, value, local); err != nil {
			t.Fatal(err)
		}
	case a.Kind == ActionNone:
	case fault == 0:
		seen["answer lost"]++
		stored.apply(a)
		m.Unanswered(a)
	case fault == 1:
		seen["write lands late"]++
		stored.late = append(stored.late, a)
		m.Unanswered(a)
	case fault == 2:
		seen["lost write"]++
		m.Unanswered(a)
	case !stored.apply(a):
		seen["conflict"]++
		m.OnConflict()
	case fault == 3:
		// The answer is seen only after a pause longer than the lease.
		seen["paused over the write"]++
		m.OnWritten(a, stored.version, local.Add(2*testTiming.Duration))
		if _, ok := m.Valid(local.Add(2 * testTiming.Duration)); ok {
			t.Fatal("valid after a pause")
		}
	default:
		m.OnWritten(a, stored.version, local)
		if _, ok := m.Valid(local); ok {
			seen["held"]++
		}
	}
}

func TestFencingGoesOnAfterDeletion(t *testing.T) {
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

// TestEarlierRunOfTheHostIsNotWaitedFor: after all hosts lost power the holder's host goes on
// with the duties at once, and the others wait until the lease has lapsed.
func TestEarlierRunOfTheHostIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	newWrite := func() string { return "w" }
	value, err := Record{Holder: "a/1", Fencing: 7}.encode()
	is.NoErr(err)
	restarted := &member{host: "a", runs: 1}
	restarted.start(newWrite)
	is.NoErr(restarted.OnRead(3, value, now))
	a := restarted.Next(now)
	is.Equal(a.Kind, ActionWrite)
	is.Equal(a.Record.Fencing, uint64(8))
	other := &member{host: "b"}
	other.start(newWrite)
	is.NoErr(other.OnRead(3, value, now))
	is.Equal(other.Next(now).Kind, ActionRead)
}

// TestLeaseRunsFromWhatItsHolderSaid: who takes over does not wait anew from the first time
// that it reads the lease, once its holder is silent.
func TestLeaseRunsFromWhatItsHolderSaid(t *testing.T) {
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
	// A version that was renewed since is young.
	is.NoErr(m.OnRead(4, value, later))
	is.Equal(m.Next(now.Add(testTiming.Duration)).Kind, ActionRead)
}
