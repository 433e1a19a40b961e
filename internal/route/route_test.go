package route

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

func newTestRouter(cfg *fleet.Configuration) *Router {
	r := NewRouter(dataCentreName(0))
	r.SetTable(Compile(cfg))
	return r
}

func TestMatches(t *testing.T) {
	endpoint, host := fleet.Labels{"tier": "gold"}, fleet.Labels{"tier": "iron", "class": "a"}
	tests := []struct {
		requirement fleet.Requirement
		want        bool
	}{
		{fleet.Requirement{Label: "tier", Op: fleet.OpIn, Values: []string{"gold"}}, true},
		{fleet.Requirement{Label: "tier", Op: fleet.OpIn, Values: []string{"iron"}}, false},
		{fleet.Requirement{Label: "class", Op: fleet.OpIn, Values: []string{"a", "b"}}, true},
		{fleet.Requirement{Label: "class", Op: fleet.OpNotIn, Values: []string{"a"}}, false},
		{fleet.Requirement{Label: "none", Op: fleet.OpNotIn, Values: []string{"a"}}, true},
		{fleet.Requirement{Label: "class", Op: fleet.OpExists}, true},
		{fleet.Requirement{Label: "none", Op: fleet.OpExists}, false},
		{fleet.Requirement{Label: "none", Op: fleet.OpAbsent}, true},
		{fleet.Requirement{Label: "class", Op: "like"}, false},
	}
	for _, test := range tests {
		got := matches([]fleet.Requirement{test.requirement}, endpoint, host)
		if got != test.want {
			t.Errorf("%+v: %v", test.requirement, got)
		}
	}
}

func TestIdempotent(t *testing.T) {
	table := Compile(&fleet.Configuration{Fleets: []fleet.Fleet{{Calls: []fleet.Call{
		{Method: "POST", Path: "/renew/quote", Idempotent: true},
		{Method: "GET", Path: "/renew/fee", Idempotent: false},
		{Method: "PUT", Path: "/renew/*", Idempotent: true},
		{Method: "PUT", Path: "/renew/slots/*", Idempotent: false},
	}}}})
	tests := []struct {
		method, path string
		want         bool
	}{
		{"post", "/renew/quote?id=1", true},
		{"POST", "/renew/book", false},
		{"GET", "/renew/fee", false},
		{"GET", "/renew/%66ee", false},
		{"GET", "/renew//fee", false},
		{"GET", "/renew/x/../fee", false},
		{"GET", "/renew/other", true},
		{"HEAD", "/", true},
		{"OPTIONS", "/renew/", true},
		{"DELETE", "/renew/a", false},
		{"PUT", "/renew/a", true},
		{"PUT", "/renew/slots/1", false},
		{"PATCH", "/renew/a", false},
	}
	for _, test := range tests {
		if got := table.Idempotent(test.method, test.path); got != test.want {
			t.Errorf("%s %s: %v", test.method, test.path, got)
		}
	}
}

func TestTableLookups(t *testing.T) {
	is := is.New(t)
	cfg := testConfiguration(4, 2, 1)
	cfg.Fleets = append(cfg.Fleets,
		fleet.Fleet{Name: "app", Kind: fleet.FleetService, PathPrefix: "/renew/"},
		fleet.Fleet{Name: "fees", Kind: fleet.FleetService, PathPrefix: "/renew/fees/"})
	cfg.Selectors[0].Organisations = []fleet.Requirement{{Label: "kind", Op: fleet.OpAbsent}}
	cfg.Organisations[1].Labels = fleet.Labels{"kind": "guest"}
	table := Compile(cfg)
	f, ok := table.FleetForPath("/renew/fees/1")
	is.True(ok && f.Name == "fees")
	f, ok = table.FleetForPath("/renew/a")
	is.True(ok && f.Name == "app")
	_, ok = table.FleetForPath("/other")
	is.True(!ok)
	organisation, ok := table.OrganisationByKeyHash("key-1")
	is.True(ok && organisation.Name == "org-1")
	f, ok = table.FleetForModel("org-0", "m")
	is.True(ok && f.Name == "llm")
	_, ok = table.FleetForModel("org-1", "m")
	is.True(!ok)
	is.Equal(table.Models("org-0"), []string{"m"})
	is.Equal(len(table.Models("org-1")), 0)
}

func TestHighestAllowingPriorityIsChosen(t *testing.T) {
	is := is.New(t)
	cfg := testConfiguration(4, 1, 3)
	cfg.Selectors[2].DataCentres = []string{"elsewhere"}
	choice, err := newTestRouter(cfg).Choose(testStart, 1, testQuery())
	is.NoErr(err)
	is.Equal(choice.Priority, 1)
}

func TestExplainGivesEachReason(t *testing.T) {
	is := is.New(t)
	cfg := testConfiguration(10, 1, 1)
	cfg.Selectors[0].DataCentres = []string{dataCentreName(0), dataCentreName(1)}
	cfg.Selectors[0].Endpoints = []fleet.Requirement{{Label: "tier", Op: fleet.OpNotIn, Values: []string{"5"}}}
	r := newTestRouter(cfg)
	// Candidates are the runners 0, 1, 4, 8 and 9.
	r.SetHostState(fleet.HostState{Host: "host-0000", Instance: "1", Phase: fleet.PhaseLeaving})
	for range ejectAfterFailures {
		r.End(testStart, "runner-0001", Result{Failed: true})
	}
	q := testQuery(7)
	q.Exclude = []string{"runner-0004"}
	explanation := r.Explain(testStart, q)
	reasons := make(map[string]Reason)
	for _, line := range explanation.Endpoints {
		reasons[line.Endpoint] = line.Reason
	}
	is.Equal(len(reasons), 10)
	is.Equal(reasons["runner-0000"], ReasonLeaving)
	is.Equal(reasons["runner-0001"], ReasonEjected)
	is.Equal(reasons["runner-0002"], ReasonWrongDataCentre)
	is.Equal(reasons["runner-0004"], ReasonExcluded)
	is.Equal(reasons["runner-0005"], ReasonNoSelector)
	choice, err := r.Choose(testStart, 1, q)
	is.NoErr(err)
	is.Equal(explanation.Choice, choice)
	is.Equal(reasons[choice.Endpoint.Name], ReasonChosen)
	q.Organisation = "nobody"
	is.Equal(r.Explain(testStart, q).Error, ErrNoSelector.Error())
	_, err = r.Choose(testStart, 1, q)
	is.True(errors.Is(err, ErrNoSelector))
}

func TestLeaving(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(2, 1, 1))
	is.True(!r.Leaving(testStart, "runner-0000"))
	r.SetHostState(fleet.HostState{Host: "host-0000", Instance: "1", Phase: fleet.PhaseLeaving})
	is.True(r.Leaving(testStart, "runner-0000"))
	is.True(!r.Leaving(testStart, "runner-0001"))
	r.SetHostState(fleet.HostState{Host: "host-0000", Instance: "1", Phase: fleet.PhaseGone})
	is.True(!r.Leaving(testStart, "runner-0000")) // what a host has not finished when it is gone is cut off
	r.SetHostState(fleet.HostState{Host: "host-0001", Instance: "1", Phase: fleet.PhaseLeaving})
	r.SetHostState(fleet.HostState{Host: "host-0001", Instance: "2", Phase: fleet.PhaseLive})
	is.True(!r.Leaving(testStart, "runner-0001"))
	is.True(!r.Leaving(testStart, "unknown"))
}

func TestRepeatedReportKeepsLocalRequests(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(1, 1, 1))
	state := r.state("runner-0000")
	r.ObserveLoad(testStart, "runner-0000", testLoad(testStart, 3))
	r.Begin("runner-0000")
	later := testStart.Add(time.Second)
	r.ObserveLoad(later, "runner-0000", testLoad(testStart, 3))
	e := state.estimate(later, 0, testSlots, 0)
	is.Equal(e.requests, 4.0)
	r.ObserveLoad(later, "runner-0000", testLoad(later, 9))
	r.ObserveLoad(later, "runner-0000", testLoad(testStart, 1))
	e = state.estimate(later, 0, testSlots, 0)
	is.Equal(e.requests, 9.0)
	old := later.Add(2 * defaultRequestDuration)
	e = state.estimate(old, 20, testSlots, 0)
	is.Equal(e.requests, 9.0)
	is.True(e.expectedRequests > 15 && e.expectedRequests < 20)
	e = state.estimate(later.Add(maxReportAge+1), 20, testSlots, 0)
	is.Equal(e.requests, 20.0)
}

// TestPopularPrefixIsSpread has half of the requests share one prefix: with idle endpoints it
// goes to about half of them, while a rare prefix goes to one.
func TestPopularPrefixIsSpread(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(12, 1, 1))
	popular, rare := make(map[string]bool), make(map[string]bool)
	for i := range uint64(400) {
		choice, err := r.Choose(testStart, mix(i), testQuery(7, 8))
		is.NoErr(err)
		popular[choice.Endpoint.Name] = true
		_, err = r.Choose(testStart, mix(i), testQuery(mix(i+1000), mix(i+5000)))
		is.NoErr(err)
	}
	for i := range uint64(5) {
		choice, err := r.Choose(testStart, mix(i), testQuery(9))
		is.NoErr(err)
		rare[choice.Endpoint.Name] = true
	}
	is.True(len(popular) >= 6 && len(popular) <= affinityRanks)
	is.Equal(len(rare), 1)
}

func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(2, 1, 1))
	hash := hashName("runner-0000")
	r.ObserveCache("runner-0000", []engine.CacheEvent{{Prefix: 1}, {Prefix: 2}})
	is.True(r.cache.holds(1, hash) && r.cache.holds(2, hash))
	r.ObserveCache("runner-0000", []engine.CacheEvent{{Prefix: 2, Dropped: true}})
	is.True(r.cache.holds(1, hash) && !r.cache.holds(2, hash))
	is.True(!r.cache.holds(1, hashName("runner-0001")))
}

func TestEndpointsToPoll(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(3, 1, 1))
	r.SetHostState(fleet.HostState{Host: "host-0002", Instance: "1", Phase: fleet.PhaseGone})
	is.Equal(len(r.EndpointsToPoll(testStart, 1)), 1)
	is.Equal(len(r.EndpointsToPoll(testStart, 5)), 1)
	is.Equal(len(r.EndpointsToPoll(testStart, 5)), 0)
	for _, name := range []string{"runner-0000", "runner-0001"} {
		r.ObserveLoad(testStart, name, testLoad(testStart, 1))
	}
	later := testStart.Add(2 * freshReportAge)
	is.Equal(len(r.EndpointsToPoll(later, 5)), 0)
	_, err := r.Choose(later, 1, testQuery())
	is.NoErr(err)
	is.Equal(len(r.EndpointsToPoll(later, 5)), 2)
}

func TestTableChangeKeepsState(t *testing.T) {
	is := is.New(t)
	cfg := testConfiguration(2, 1, 1)
	r := newTestRouter(cfg)
	r.Begin("runner-0000")
	r.Begin("runner-0001")
	r.End(testStart, "runner-0001", Result{OK: true})
	r.SetTable(Compile(&fleet.Configuration{}))
	is.Equal(r.state("runner-0000").inFlight.Load(), int32(1))
	is.True(r.state("runner-0001") == nil)
	r.SetTable(Compile(cfg))
	r.End(testStart, "runner-0000", Result{OK: true})
	r.End(testStart, "runner-0000", Result{OK: true})
	is.Equal(r.state("runner-0000").inFlight.Load(), int32(0))
}

func TestChooseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(testConfiguration(100, 1, 1))
	q := testQuery(1, 2, 3)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = r.Choose(testStart, 1, q) }), 0.0)
}

// TestRankIgnoresFiltersThatNonePasses checks that filters are dropped if by chance no endpoint
// passes them.
func TestRankIgnoresFiltersThatNonePasses(t *testing.T) {
	is := is.New(t)
	list := Compile(testConfiguration(20, 1, 1)).lists[listKey{"org-0", "llm"}]
	var f filters
	f.add(1, 1e-15)
	ranks := list.rank(2, &f)
	is.Equal(ranks.count, affinityRanks)
}

// TestMeanLoadOfLongList checks that after one round of refreshes the load of every endpoint is
// included, and that the load of one that leaves is subtracted again.
func TestMeanLoadOfLongList(t *testing.T) {
	is := is.New(t)
	const runners = 10 * meanRefreshStep
	cfg := testConfiguration(runners, 1, 1)
	r := newTestRouter(cfg)
	list := r.view.Load().lists[listKey{"org-0", "llm"}]
	is.Equal(list.mean.refresh(testStart, list.targets), 0.0)
	for i, endpoint := range cfg.Endpoints {
		r.ObserveLoad(testStart, endpoint.Name, testLoad(testStart, 2+i%2*4))
		if i%2 == 1 {
			r.SetHostState(fleet.HostState{Host: endpoint.Host, Instance: "1", Phase: fleet.PhaseLeaving})
		}
	}
	for range runners / meanRefreshStep {
		list.mean.refresh(testStart, list.targets)
	}
	is.Equal(list.mean.refresh(testStart, list.targets), 2.0)
}

// TestConcurrentUse changes tables while requests are routed, and checks that no request is
// lost from the in-flight counts.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	cfg := testConfiguration(8, 1, 1)
	r := newTestRouter(cfg)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 300 {
				now := testStart.Add(time.Duration(i) * time.Millisecond)
				choice, err := r.Choose(now, mix(uint64(i)), testQuery(uint64(i%5)))
				if err != nil {
					continue
				}
				r.Begin(choice.Endpoint.Name)
				r.ObserveLoad(now, choice.Endpoint.Name, testLoad(now, i%testSlots))
				r.Explain(now, testQuery(uint64(i)))
				r.End(now, choice.Endpoint.Name, Result{OK: i%3 > 0, Failed: i%3 == 0, Duration: time.Second})
				if i%50 == worker {
					r.SetTable(Compile(cfg))
				}
			}
		})
	}
	group.Wait()
	for _, endpoint := range cfg.Endpoints {
		is.Equal(r.state(endpoint.Name).inFlight.Load(), int32(0))
	}
}
