package reachability

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// list returns n endpoints.
func list(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprint("e", i), Address: fmt.Sprint("a", i)})
	}
	return out
}

func endpointsOf(n int) func(string) []Endpoint {
	return func(string) []Endpoint { return list(n) }
}

func TestFleetIsLostOnceSeveralEndpointsAreUnreached(t *testing.T) {
	for _, c := range []struct{ endpoints, required int }{{1, 1}, {2, 2}, {4, 4}, {140, 4}} {
		is := is.New(t)
		table := NewTable()
		for i := range c.required {
			is.True(!table.Lost("f"))
			lost := table.Unreached(at(i), "f", fmt.Sprint("e", i), c.endpoints)
			is.Equal(lost, i == c.required-1)
		}
		is.True(table.Lost("f"))
		is.Equal(table.LostFleets(), []string{"f"})
		is.Equal(table.Heard(at(1000), "f"), 1000*time.Millisecond-time.Duration(c.required-1)*time.Millisecond)
		is.True(!table.Lost("f"))
	}
}

func TestOneEndpointThatIsSilentIsNoLostFleet(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 100 {
		table.Unreached(at(i*100), "f", "e0", 6)
	}
	is.True(!table.Lost("f"))
}

func TestFailuresOfLongAgoDoNotAddUp(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 6 {
		table.Unreached(at(i*4000), "f", fmt.Sprint("e", i), 6)
	}
	is.True(!table.Lost("f"))
}

func TestSilentFleetIsTestedWithTheAwaitedEndpointFirst(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	w := table.Begin(at(0), "f", "e4")
	is.Equal(len(table.Due(at(300), endpointsOf(6))), 0)
	due := table.Due(at(500), endpointsOf(6))
	is.Equal(len(due), 1)
	is.Equal(due[0].First, []Endpoint{{"e4", "a4"}})
	is.Equal(len(due[0].Rest), maxRequired)
	is.Equal(len(table.Due(at(600), endpointsOf(6))), 0) // tested just now
	w.End()
	is.Equal(len(table.Due(at(3000), endpointsOf(6))), 0)
}

func TestFleetThatIsHeardIsNotTested(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Begin(at(0), "f", "e0")
	for ms := 0; ms < 5000; ms += 100 {
		table.Heard(at(ms), "f")
		is.Equal(len(table.Due(at(ms), endpointsOf(6))), 0)
	}
}

func TestLostFleetIsTestedInTurnAndTheOthersToo(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Heard(at(0), "other")
	for i := range 4 {
		table.Unreached(at(i), "f", fmt.Sprint("e", i), 6)
	}
	tried, others := map[string]bool{}, 0
	for ms := 100; ms < 1000; ms += 100 {
		for _, test := range table.Due(at(ms), endpointsOf(6)) {
			if test.Fleet == "other" {
				others++
				continue
			}
			for _, e := range test.First {
				tried[e.ID] = true
			}
		}
	}
	is.Equal(len(tried), 6)
	is.Equal(others, 1)
}

// TestLostOnlyWithoutAWord lets any events happen: a fleet is never out of reach after one was heard, and only
// with as many unreached endpoints as are required.
func TestLostOnlyWithoutAWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, endpoints := NewTable(), rapid.IntRange(1, 9).Draw(t, "endpoints")
		unreached, now := map[string]bool{}, 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.IntRange(0, 40).Draw(t, "ms")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				table.Heard(at(now), "f")
				clear(unreached)
			} else {
				id := fmt.Sprint("e", rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
				unreached[id] = true
				table.Unreached(at(now), "f", id, endpoints)
			}
			if want := len(unreached) >= min(endpoints, maxRequired); table.Lost("f") != want {
				t.Fatalf("lost %v with %d of %d unreached", !want, len(unreached), endpoints)
			}
		}
	})
}
