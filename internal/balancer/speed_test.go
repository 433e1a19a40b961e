package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/speed"
)

// statingTable returns a table whose endpoints have all stated to work as usual.
func statingTable(endpoints int) *Table {
	t := newTestTable(endpoints)
	for _, p := range t.all() {
		p.speeds.statedAt = epoch
		for _, e := range p.ordered {
			e.speed.State(epoch, 1, &p.speeds.persistence)
		}
	}
	return t
}

// chosen counts how often each endpoint is chosen for a request.
func chosen(t *Table, now time.Time, r Request, n int) map[string]int {
	counts := map[string]int{}
	for i := range n {
		c, _ := t.Choose(now, mix(uint64(i)+1), r)
		counts[c.Endpoint.ID]++
	}
	return counts
}

func TestChoiceBySpeedAllocatesNothing(t *testing.T) {
	for _, r := range []Request{{Fleet: plainFleet}, prompt("doc", 5000, 1000, 1)} {
		t.Run(r.Fleet, func(t *testing.T) {
			is := is.New(t)
			table := statingTable(200)
			c, _ := table.Choose(epoch, 1, r)
			table.Begin(epoch, r, c)
			random := uint64(1)
			is.Equal(testing.AllocsPerRun(200, func() {
				random++
				table.Choose(epoch, random, r)
			}), 0.0)
		})
	}
}

// TestEndpointWithALateRequestIsAvoidedBeforeItSaysThatItIsSlow has a request wait for four times the usual time.
func TestEndpointWithALateRequestIsAvoidedBeforeItSaysThatItIsSlow(t *testing.T) {
	is := is.New(t)
	table := statingTable(4)
	r := Request{Fleet: plainFleet}
	late := epoch.Add(4 * defaultAnswerDuration)
	var a *Attempt
	for i := range 4 {
		e := table.pool(plainFleet).ordered[i]
		at := late
		if i == 0 {
			at = epoch
		}
		begun := table.Begin(at, r, Choice{Endpoint: e.known, usual: defaultAnswerDuration, MomentSlowness: 1})
		if i == 0 {
			a = begun
		}
	}
	is.True(chosen(table, epoch, r, 400)["plain0"] > 50) // all endpoints have one request
	is.True(chosen(table, late, r, 400)["plain0"] < 20)
	is.Equal(table.SlowEndpoints(late), 1)
	a.End(late, ResultOK)
	is.Equal(table.SlowEndpoints(late), 0)
}

// TestLongPromptsStayAwayFromStreamsThatTheyWouldInterrupt has one endpoint with prompts to compute beside streams, and one
// that is expected to be as late with the first event for another reason.
func TestLongPromptsStayAwayFromStreamsThatTheyWouldInterrupt(t *testing.T) {
	is := is.New(t)
	table := statingTable(2)
	busy := Load{Fleet: modelFleet, Endpoint: "model0", InFlight: 2, PendingTokens: 20_000}
	table.SetPeerLoads(epoch, "peer", false, []Load{busy})
	p := table.pool(modelFleet)
	p.endpoints["model1"].speed.State(epoch.Add(1), 5, nil)
	now := epoch.Add(2)
	r := Request{Fleet: modelFleet, PromptTokens: 6000, OutputTokens: 2}
	without := chosen(table, now, r, 200)
	r.EventGapTarget = 400 * time.Millisecond
	with := chosen(table, now, r, 200)
	t.Logf("without a wanted pause %v, with it %v", without, with)
	is.True(with["model0"] < without["model0"]/2)
	r.PromptTokens = 50 // of which nothing notable is to be computed
	table.SetPeerLoads(now, "peer", false, []Load{{Fleet: modelFleet, Endpoint: "model0", InFlight: 2}})
	is.True(chosen(table, now, r, 200)["model0"] > 150)
}

// TestReportsReachTheEstimates has a host hear of a slow endpoint and of its end from another one.
func TestReportsReachTheEstimates(t *testing.T) {
	is := is.New(t)
	from, to := newTestTable(4), newTestTable(4)
	r := Request{Fleet: plainFleet}
	c, _ := from.Choose(epoch, 1, r)
	a := from.Begin(epoch, r, c)
	a.ObserveSlowdown(epoch, 4)
	is.True(from.SpeedReport(epoch, ScopeGroup) != nil)
	to.ApplySpeedReport(epoch, from.SpeedReport(epoch, ScopeGroup), false)
	is.Equal(to.SlowEndpoints(epoch), 1)
	is.True(chosen(to, epoch, r, 400)[c.Endpoint.ID] < 20)
	is.True(to.SpeedReport(epoch, ScopeGroup) == nil)
	is.True(to.SpeedReport(epoch, ScopeAll) != nil)
	later := epoch.Add(100 * time.Millisecond)
	a.ObserveSlowdown(later, 1)
	to.ApplySpeedReport(later, from.SpeedReport(later, ScopeGroup), false)
	is.Equal(to.SlowEndpoints(later), 0)
	to.ApplySpeedReport(later, nil, false)
	to.ApplySpeedReport(later, &speed.Report{Endpoints: []speed.Statement{{Fleet: "unknown", Endpoint: "e", Percent: 400}}}, false)
}

// TestHoldersFollowTheCaches has endpoints drop prompts and leave.
func TestHoldersFollowTheCaches(t *testing.T) {
	is := is.New(t)
	table := newTestTable(3)
	p := table.pool(modelFleet)
	for i := range 500 {
		r := prompt(string(rune('a'+i%26)), 20_000, 500, i)
		c, _ := table.Choose(epoch.Add(time.Duration(i)), uint64(i), r)
		table.Begin(epoch.Add(time.Duration(i)), r, c).End(epoch.Add(time.Duration(i)), ResultOK)
	}
	listed := func() int {
		n := 0
		for key, list := range p.holders.byKey {
			for _, e := range list {
				is.True(e.cache.entries[key] != nil)
				n++
			}
		}
		return n
	}
	entries := 0
	for _, e := range p.ordered {
		entries += len(e.cache.entries)
	}
	is.True(entries > 0)
	is.Equal(listed(), entries)
	kept := len(p.endpoints["model0"].cache.entries)
	table.SetEndpoints(testEndpoints(1))
	is.Equal(listed(), kept)
	table.SetEndpoints(nil)
	is.Equal(len(p.holders.byKey), 0)
}
