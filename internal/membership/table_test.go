package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestTable(name string) *Table {
	return NewTable(Member{Name: name, Address: name + ":1", Incarnation: 1}, DefaultTiming)
}

func drawRecords(t *rapid.T) []Member {
	var out []Member
	for range rapid.IntRange(1, 20).Draw(t, "records") {
		m := Member{
			Name:        rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "name"),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
		}
		if m.State != StateAlive {
			m.SinceMillis = epoch.UnixMilli() - rapid.Int64Range(0, 2).Draw(t, "since")
		}
		out = append(out, m)
	}
	return out
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		one, other := newTestTable("a"), newTestTable("a")
		for _, m := range records {
			one.Merge(epoch, m)
		}
		for _, m := range rapid.Permutation(records).Draw(t, "order") {
			other.Merge(epoch, m)
			other.Merge(epoch, m)
		}
		if one.Set().Sum() != other.Set().Sum() || fmt.Sprint(one.All()) != fmt.Sprint(other.All()) {
			t.Fatalf("%v differs from %v", one.All(), other.All())
		}
	})
}

func TestUnrefutedSuspicionMeansDeath(t *testing.T) {
	is := is.New(t)
	a, b := newTestTable("a"), newTestTable("b")
	a.Merge(epoch, b.Self())
	suspicion, changed := a.Suspect(epoch, "b")
	is.True(changed)
	is.Equal(len(a.Live()), 2)

	refutation, changed := b.Merge(epoch, suspicion.Member)
	is.True(changed)
	a.Merge(epoch, refutation.Member)
	is.Equal(len(a.Expire(epoch.Add(DefaultTiming.SuspectTimeout))), 0) // the suspicion was refuted in time

	a.Suspect(epoch, "b")
	is.Equal(len(a.Expire(epoch.Add(DefaultTiming.SuspectTimeout))), 1)
	is.Equal(len(a.Live()), 1)
	is.Equal(len(a.Dead()), 1)

	b.Merge(epoch, a.All()[1])
	change, _ := a.Merge(epoch, b.Self())
	is.True(change.Live) // a higher incarnation revives a dead member
}

func TestExpiredTombstoneIsNotReadded(t *testing.T) {
	is := is.New(t)
	a := newTestTable("a")
	gone := Member{Name: "b", Incarnation: 1, State: StateLeft, SinceMillis: epoch.UnixMilli()}
	a.Merge(epoch, gone)
	is.Equal(a.Len(), 2)
	later := epoch.Add(DefaultTiming.TombstoneTTL + time.Second)
	a.Expire(later)
	is.Equal(a.Len(), 1)
	_, changed := a.Merge(later, gone)
	is.True(!changed)
}

func TestDutiesMoveOnlyFromLeavingMember(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 37 {
		members = append(members, Member{Name: fmt.Sprint("node-", i)})
	}
	for i := range 500 {
		duty := Duty(fmt.Sprint("duty-", i))
		before, _ := Owner(duty, members)
		after, _ := Owner(duty, members[1:])
		is.True(before == after || before == members[0])
		is.Equal(Rank(duty, members)[0], before)
	}
}
