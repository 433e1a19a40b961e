package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawCost(t *rapid.T, label string) Cost {
	var c Cost
	for k := range c {
		c[k] = rapid.Float64Range(0, 100).Draw(t, fmt.Sprint(label, k))
	}
	return c
}

// minRoom is less than the room of one endpoint.
const minRoom = 0.01

func drawClaims(t *rapid.T) []claim {
	n := rapid.IntRange(1, 64).Draw(t, "organisations")
	claims := make([]claim, n)
	for i := range claims {
		claims[i] = claim{
			name: fmt.Sprint("o", i), weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"), demand: drawCost(t, "demand"),
		}
	}
	return claims
}

// TestLevelIsFair checks that what a level grants fits the room, uses all of a kind if any claim is cut, and grants
// in full whoever demands no more than the level.
func TestLevelIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims, capacity := drawClaims(t), drawCost(t, "capacity").plus(Cost{minRoom, minRoom, minRoom})
		level, short := fairLevel(claims, capacity)
		var granted, total Cost
		cut := false
		for i := range claims {
			c := &claims[i]
			part := c.grant(level)
			granted, total = granted.plus(c.demand.times(part)), total.plus(c.demand)
			if part < 1 {
				cut = true
			}
			if c.dominant <= level*c.weight && part != 1 {
				t.Fatalf("%v below the level gets %v", c, part)
			}
		}
		mostUsed := 0.0
		for k, c := range capacity {
			if !short[k] {
				continue
			}
			if granted[k] > c*(1+1e-9) {
				t.Fatalf("%v of %v granted", granted[k], c)
			}
			mostUsed = max(mostUsed, granted[k]/c)
		}
		if cut && mostUsed < 0.999 {
			t.Fatalf("only %v of the room granted, demand %v", mostUsed, total)
		}
	})
}

// TestLevelGrowsWithRoomAndFallsWithDemand checks that the level is monotone for one kind of room.
func TestLevelGrowsWithRoomAndFallsWithDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := drawClaims(t)
		for i := range claims {
			claims[i].demand = Cost{Slots: claims[i].demand[Slots] + 1}
		}
		room := rapid.Float64Range(0.1, 50).Draw(t, "room")
		more := room * rapid.Float64Range(1, 3).Draw(t, "more")
		// Levels are relative to the room.
		amount := func(claims []claim, room float64) float64 {
			level, short := fairLevel(claims, Cost{Slots: room})
			if !short[Slots] {
				return math.Inf(1)
			}
			return level * room
		}
		before := amount(claims, room)
		const slack = 1e-3
		if after := amount(claims, more); after < before*(1-slack) {
			t.Fatalf("%v with %v slots, %v with %v", before, room, after, more)
		}
		grown := append([]claim(nil), claims...)
		grown = append(grown, claim{name: "new", weight: 1, demand: Cost{Slots: rapid.Float64Range(0, 50).Draw(t, "new")}})
		if after := amount(grown, room); after > before*(1+slack) {
			t.Fatalf("level %v, %v with one organisation more", before, after)
		}
	})
}

// TestUrgentRanksComeFirst checks that the parts of the ranks add up to an organisation's share, that a more urgent
// rank is granted no less than a less urgent one, and that none is left out.
func TestUrgentRanksComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMember(time.Unix(0, 0), 0)
		total := 0.0
		for i := range m.ranks {
			m.ranks[i] = rapid.Float64Range(0.01, 100).Draw(t, "rate")
			total += m.ranks[i]
		}
		part := rapid.Float64Range(0.001, 0.99).Draw(t, "part")
		m.setShare(part)
		if sum := m.grantedPerSecond(); math.Abs(sum-part*total) > 1e-6*total {
			t.Fatalf("%v granted of %v at a share of %v", sum, total, part)
		}
		for i, g := range m.granted {
			if g < part*minGrantedPart*(1-1e-9) || i > 0 && g > m.granted[i-1]+1e-9 {
				t.Fatalf("granted %v at a share of %v", m.granted, part)
			}
		}
	})
}

// TestGrantsFollowTheShare checks that of many requests of a rank no more than the granted part is admitted, apart from a
// burst, and not much less, whenever they come.
func TestGrantsFollowTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := newMember(now, rapid.Float64Range(0, 1).Draw(t, "random"))
		m.granted[0] = rapid.Float64Range(0, 1).Draw(t, "granted")
		meanGap := rapid.Float64Range(0.001, 0.2).Draw(t, "gap")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const n = 2000
		taken, mostAllowance := 0, 0.0
		for range n {
			now = now.Add(time.Duration(meanGap * random.ExpFloat64() * float64(time.Second)))
			m.record(now, 0, Cost{})
			mostAllowance = max(mostAllowance, m.maxAllowance(0))
			if m.take(0) {
				taken++
			}
		}
		want := m.granted[0] * n
		if float64(taken) > want+1+mostAllowance {
			t.Fatalf("%d taken, granted %.0f", taken, want)
		}
		if float64(taken) < 0.85*want-m.granted[0]/meanGap-1 {
			t.Fatalf("only %d taken, granted %.0f", taken, want)
		}
	})
}

// TestMessagesAreBounded checks that a report doesn't grow with organisations or hosts, keeps the total demand, and
// survives its encoding.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	organisations := make([]Organisation, 500)
	for i := range organisations {
		organisations[i].Name = fmt.Sprint("organisation ", i)
	}
	table.Configure(organisations, []string{"f"})
	table.RecordServed(now, Served{Fleet: "f", Route: "r", Seconds: 1, Slots: 8})
	for i, o := range organisations {
		for range 1 + i%7 {
			table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: o.Name, PromptTokens: 100, OutputTokens: 10})
		}
	}
	is.Equal(table.Report(now, ScopeAll), nil) // there is room for all
	table.SetRoom(now, "f", Room{Capacity: Cost{Slots: 100}, Fullness: Cost{Slots: 1}})
	r := table.Report(now, ScopeAll)
	text, err := json.Marshal(r)
	is.NoErr(err)
	t.Logf("%d bytes", len(text))
	is.True(len(text) < 2000)
	var decoded Report
	is.NoErr(json.Unmarshal(text, &decoded))
	sum := *decoded.Fleets[0].Others
	for _, d := range decoded.Fleets[0].Demand {
		sum = sum.plus(d.Cost)
	}
	is.True(math.Abs(sum[Slots]-1994) < 10)
}

// TestSenselessReportsAreIgnored applies figures that no host reports, and fleets that are not configured.
func TestSenselessReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Configure([]Organisation{{Name: "a"}, {Name: "b"}}, []string{"f"})
	bad := &Report{Fleets: []FleetReport{
		{Fleet: "other", Demand: []Demand{{"a", Cost{1, 1, 1}}}},
		{Fleet: "f", Demand: []Demand{{"a", Cost{math.NaN(), 0, 0}}, {"b", Cost{-1, 0, 0}}, {"c", Cost{math.Inf(1), 0, 0}}}, Others: &Cost{1e300, 0, 0}},
	}}
	table.Apply(now, "peer", true, bad)
	table.SetRoom(now, "f", Room{Capacity: Cost{Slots: 1}, Fullness: Cost{Slots: 1}})
	is.True(table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "a"}).Admit)
	for _, text := range []string{"", "a", "a 1", "a 1 2", "a x 2 3", "a 1e400 2 3", "%zz 1 2 3"} {
		d := Demand{"a", Cost{1, 2, 3}}
		is.NoErr(d.UnmarshalText([]byte(text))) // it costs no other part of the message
		is.True(!d.Cost.valid())
	}
	var d Demand
	is.NoErr(d.UnmarshalText([]byte("a+b 1 2 3 later"))) // fields of a later version
	is.Equal(d, Demand{"a b", Cost{1, 2, 3}})
	table.Apply(now, "peer", true, nil)
	is.Equal(len(table.pools["f"].peers), 0)
}

// TestSubtractLeavesTheOthers checks that a host finds the others' demand in a digest.
func TestSubtractLeavesTheOthers(t *testing.T) {
	is := is.New(t)
	all := &Report{Fleets: []FleetReport{{Fleet: "f", Demand: []Demand{{"a", Cost{5, 0, 0}}, {"b", Cost{1, 0, 0}}}, Others: &Cost{3, 0, 0}}}}
	own := &Report{Fleets: []FleetReport{{Fleet: "f", Demand: []Demand{{"a", Cost{2, 0, 0}}, {"b", Cost{4, 0, 0}}, {"c", Cost{1, 0, 0}}}}}}
	left := Subtract(all, own)
	is.Equal(left.Fleets[0].Demand, []Demand{{"a", Cost{3, 0, 0}}, {"b", Cost{}}})
	is.Equal(*left.Fleets[0].Others, Cost{2, 0, 0})
	is.Equal(all.Fleets[0].Demand[0].Cost, Cost{5, 0, 0}) // unchanged
	is.Equal(Subtract(nil, own), nil)
	is.Equal(Subtract(all, nil), all)
}

// floodedTable returns a host where one of two organisations demands much more than its share.
func floodedTable(now time.Time) *Table {
	table := NewTable()
	table.Configure([]Organisation{{Name: "a"}, {Name: "b"}}, []string{"f", "g"})
	table.RecordServed(now, Served{Fleet: "f", Route: "r", Seconds: 1, Slots: 8})
	for range 100 {
		table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "a"})
	}
	table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "b"})
	table.SetRoom(now, "f", Room{Capacity: Cost{Slots: 10}, Fullness: Cost{Slots: 1}})
	return table
}

// TestOrganisationWithoutNameIsNone guards against callers without an organisation that are taken for one whose name is
// empty, and so limited.
func TestOrganisationWithoutNameIsNone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Configure([]Organisation{{}, {Name: "b"}}, []string{"f"})
	table.RecordServed(now, Served{Fleet: "f", Route: "r", Seconds: 1, Slots: 8})
	for range 100 {
		table.Decide(now, 0, Request{Fleet: "f", Route: "r"})
	}
	table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "b"})
	table.SetRoom(now, "f", Room{Capacity: Cost{Slots: 10}, Fullness: Cost{Slots: 1}})
	for range 20 {
		d := table.Decide(now, 0, Request{Fleet: "f", Route: "r"})
		is.True(d.Admit && !d.Limited)
	}
}

// TestWhoIsNeverRefused checks whose requests are granted whatever a fleet's shortage.
func TestWhoIsNeverRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := floodedTable(now)
	refused := func(r Request) int {
		n := 0
		r.Route = "r"
		for range 100 {
			if d := table.Decide(now, 0.5, r); !d.Admit {
				is.True(d.RetryAfter >= minReturn)
				n++
			}
		}
		return n
	}
	is.True(refused(Request{Fleet: "f", Organisation: "a"}) > 80)
	is.Equal(refused(Request{Fleet: "f", Organisation: "b"}), 0)
	is.Equal(refused(Request{Fleet: "f"}), 0)                                     // without an organisation
	is.Equal(refused(Request{Fleet: "f", Organisation: "a", Continues: true}), 0) // granted before
	is.Equal(refused(Request{Fleet: "g", Organisation: "a"}), 0)                  // another fleet
	is.Equal(refused(Request{Fleet: "unknown", Organisation: "a"}), 0)            // no fleet
	now = now.Add(roomMaxAge + time.Millisecond)
	is.Equal(refused(Request{Fleet: "f", Organisation: "a"}), 0) // shares of long ago
}

// TestOneOrganisationIsNotLimited checks that sharing needs two.
func TestOneOrganisationIsNotLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := floodedTable(now)
	is.True(!table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "a"}).Admit)
	table.Configure([]Organisation{{Name: "a"}}, []string{"f"})
	for range 50 {
		is.True(table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "a"}).Admit)
	}
	is.Equal(len(table.Active(now)), 0)
	is.Equal(table.Report(now, ScopeAll), nil)
}

// TestWeightsCount has two organisations with weights of one and three demand more than there is.
func TestWeightsCount(t *testing.T) {
	is := is.New(t)
	claims := []claim{{name: "a", weight: 1, demand: Cost{Slots: 100}}, {name: "b", weight: 3, demand: Cost{Slots: 100}}}
	level, _ := fairLevel(claims, Cost{Slots: 40})
	for _, c := range claims {
		is.True(math.Abs(100*c.grant(level)-10*c.weight) < 0.01)
	}
}

// TestScarcestKindCounts has an organisation with long prompts and one with short ones share the computing of prompts
// evenly, whatever slots they use.
func TestScarcestKindCounts(t *testing.T) {
	is := is.New(t)
	claims := []claim{
		{name: "long", weight: 1, demand: Cost{5, 1000, 0}},
		{name: "short", weight: 1, demand: Cost{50, 200, 0}},
	}
	level, short := fairLevel(claims, Cost{100, 600, 0})
	is.Equal(short, [kindCount]bool{Prompt: true})
	is.Equal(claims[0].name, "short")
	is.Equal(claims[0].grant(level), 1.0)
	is.True(math.Abs(claims[1].grant(level)-0.4) < 0.001)
}

// TestShortageEnds checks that a fleet is no longer short once demand falls, and says so once.
func TestShortageEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := floodedTable(now)
	changes := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if c, ok := table.SetRoom(now, "f", Room{Capacity: Cost{Slots: 10}, Fullness: Cost{Slots: 0.2}}); ok {
			is.True(!c.Short)
			is.True(c.After <= 2*time.Second)
			changes++
		}
	}
	is.Equal(changes, 1)
}

// TestConcurrentUse has organisations come and go by configuration while requests are decided on and messages arrive.
func TestConcurrentUse(t *testing.T) {
	table := NewTable()
	now := time.Unix(1000, 0)
	room := Room{Capacity: Cost{Slots: 4}, Fullness: Cost{Slots: 1}}
	var work sync.WaitGroup
	repeat := func(step func(i int)) {
		work.Go(func() {
			for i := range 300 {
				step(i)
			}
		})
	}
	at := func(i int) time.Time { return now.Add(time.Duration(i) * 10 * time.Millisecond) }
	names := []string{"a", "b", "c", ""}
	repeat(func(i int) {
		table.Configure([]Organisation{{Name: "a"}, {Name: "b", Weight: 2}, {Name: "c"}}[:1+i%3], []string{"f", "g"}[:1+i%2])
	})
	for range 3 {
		repeat(func(i int) {
			table.Decide(at(i), 0.5, Request{Fleet: "f", Route: "r", Organisation: names[i%len(names)], Rank: i})
			table.RecordServed(at(i), Served{Fleet: "f", Route: "r", Seconds: 0.1, Slots: 8})
		})
	}
	repeat(func(i int) { table.SetRoom(at(i), "f", room) })
	repeat(func(i int) { table.Apply(at(i), "peer", i%2 == 0, table.Report(at(i), ScopeAll)) })
	repeat(func(i int) { table.Snapshot(at(i)) })
	repeat(func(int) { table.ForgetPeers() })
	work.Wait()
}

// TestOrganisationsComeAndGo has an organisation that floods leave the configuration, and come back.
func TestOrganisationsComeAndGo(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := floodedTable(now)
	flood := Request{Fleet: "f", Route: "r", Organisation: "a"}
	is.True(!table.Decide(now, 0, flood).Admit)
	table.Configure([]Organisation{{Name: "b"}, {Name: "c"}}, []string{"f", "g"})
	is.True(table.Decide(now, 0, flood).Admit) // whether its keys are still valid is decided elsewhere
	room := Room{Capacity: Cost{Slots: 10}, Fullness: Cost{Slots: 1}}
	table.SetRoom(now, "f", room)
	is.True(table.Decide(now, 0, Request{Fleet: "f", Route: "r", Organisation: "b"}).Admit)
	table.Configure([]Organisation{{Name: "a"}, {Name: "b"}, {Name: "c"}}, []string{"f", "g"})
	table.SetRoom(now, "f", room)
	refused := 0
	for range 20 {
		if !table.Decide(now, 0, flood).Admit {
			refused++
		}
	}
	is.True(refused > 10)
}
