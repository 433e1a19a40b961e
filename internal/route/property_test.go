package route

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

// model drives a router and tracks the state that the router must agree with.
type model struct {
	cfg      *fleet.Configuration
	router   *Router
	now      time.Time
	phases   map[string]fleet.Phase
	inFlight map[string]int
}

func newModel(t *rapid.T) *model {
	runners := rapid.IntRange(1, 24).Draw(t, "runners")
	cfg := testConfiguration(runners, 2, 1)
	cfg.Selectors[0].DataCentres = []string{dataCentreName(0), dataCentreName(1)}
	cfg.Selectors[0].Endpoints = []fleet.Requirement{{Label: "tier", Op: fleet.OpNotIn, Values: []string{"5"}}}
	m := &model{
		cfg: cfg, router: NewRouter(dataCentreName(0)), now: testStart,
		phases: make(map[string]fleet.Phase), inFlight: make(map[string]int),
	}
	m.router.SetTable(Compile(cfg))
	return m
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) endpoint(t *rapid.T) fleet.Endpoint {
	return rapid.SampledFrom(m.cfg.Endpoints).Draw(t, "endpoint")
}

func (m *model) setPhase(t *rapid.T) {
	host := rapid.SampledFrom(m.cfg.Hosts).Draw(t, "host").Name
	phase := fleet.Phase(rapid.IntRange(int(fleet.PhaseLive), int(fleet.PhaseGone)).Draw(t, "phase"))
	m.router.SetHostState(fleet.HostState{Host: host, Instance: "1", Phase: phase})
	m.phases[host] = max(m.phases[host], phase)
}

func (m *model) choose(t *rapid.T) {
	q := testQuery(rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 3).Draw(t, "prefixes")...)
	for range rapid.IntRange(0, 3).Draw(t, "excluded") {
		q.Exclude = append(q.Exclude, m.endpoint(t).Name)
	}
	choice, err := m.router.Choose(m.now, rapid.Uint64().Draw(t, "word"), q)
	if err != nil {
		m.checkNone(t, q, err)
		return
	}
	if !m.allowed(choice.Endpoint) || slices.Contains(q.Exclude, choice.Endpoint.Name) {
		t.Fatalf("chose %s; excluded %v, phases %v", choice.Endpoint.Name, q.Exclude, m.phases)
	}
	m.router.Begin(choice.Endpoint.Name)
	m.inFlight[choice.Endpoint.Name]++
}

// checkNone verifies that a choice failed only because each allowed endpoint is excluded or
// ejected.
func (m *model) checkNone(t *rapid.T, q Query, err error) {
	for _, endpoint := range m.cfg.Endpoints {
		free := m.allowed(endpoint) && !slices.Contains(q.Exclude, endpoint.Name)
		if free && !m.router.state(endpoint.Name).ejected(m.now) {
			t.Fatalf("%v although %s is available", err, endpoint.Name)
		}
	}
}

func (m *model) allowed(endpoint fleet.Endpoint) bool {
	i := slices.IndexFunc(m.cfg.Hosts, func(h fleet.Host) bool { return h.Name == endpoint.Host })
	dataCentre := m.cfg.Hosts[i].DataCentre
	inAllowedDataCentre := dataCentre == dataCentreName(0) || dataCentre == dataCentreName(1)
	return inAllowedDataCentre && endpoint.Labels["tier"] != "5" && m.phases[endpoint.Host] == fleet.PhaseLive
}

func (m *model) end(t *rapid.T) {
	name := m.endpoint(t).Name
	if m.inFlight[name] == 0 {
		return
	}
	m.inFlight[name]--
	ok := rapid.Bool().Draw(t, "ok")
	m.router.End(m.now, name, Result{OK: ok, Failed: !ok, Duration: time.Second})
}

func (m *model) report(t *rapid.T) {
	running := rapid.IntRange(0, 2*testSlots).Draw(t, "running")
	m.router.ObserveLoad(m.now, m.endpoint(t).Name, testLoad(m.now, running))
}

func (m *model) cacheEvents(t *rapid.T) {
	event := engine.CacheEvent{Prefix: rapid.Uint64Range(0, 5).Draw(t, "prefix"), Dropped: rapid.Bool().Draw(t, "dropped")}
	m.router.ObserveCache(m.endpoint(t).Name, []engine.CacheEvent{event})
}

func (m *model) check(t *rapid.T) {
	for name, count := range m.inFlight {
		if got := m.router.state(name).inFlight.Load(); got != int32(count) {
			t.Fatalf("%s: %d in flight, want %d", name, got, count)
		}
	}
}

func TestChoosesOnlyAllowedEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "advance": m.advance, "phase": m.setPhase, "choose": m.choose,
			"end": m.end, "report": m.report, "cache": m.cacheEvents,
			"table": func(*rapid.T) { m.router.SetTable(Compile(m.cfg)) },
		})
	})
}

func TestPhaseNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newHostState()
		highest := make(map[string]fleet.Phase)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			instance := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "instance"))
			phase := fleet.Phase(rapid.IntRange(0, 2).Draw(t, "phase"))
			host.merge(instance, phase)
			highest[instance] = max(highest[instance], phase)
			live := slices.Contains(slices.Collect(mapValues(highest)), fleet.PhaseLive)
			if host.usable.Load() != live {
				t.Fatalf("usable %v with %v", host.usable.Load(), highest)
			}
		}
	})
}

func mapValues(m map[string]fleet.Phase) func(func(fleet.Phase) bool) {
	return func(yield func(fleet.Phase) bool) {
		for _, phase := range m {
			if !yield(phase) {
				return
			}
		}
	}
}

// TestBoundedLoad sends up to 200 requests with one prefix, which is the worst case for affinity;
// some end at once. At each choice it checks the load bound, unless the chosen endpoint has no
// free slot.
func TestBoundedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := rapid.IntRange(1, affinityRanks).Draw(t, "runners")
		r := NewRouter(dataCentreName(0))
		r.SetTable(Compile(testConfiguration(runners, 1, 1)))
		now, total, loads := testStart, 0, make(map[string]int)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Millisecond)
			q := testQuery(7)
			q.PromptTokens = 1
			choice, err := r.Choose(now, rapid.Uint64().Draw(t, "word"), q)
			if err != nil {
				t.Fatal(err)
			}
			name := choice.Endpoint.Name
			bound := max(math.Ceil(loadFactor*float64(total+1)/float64(runners)), minBoundShare*testSlots)
			if float64(loads[name]) >= bound && loads[name] < testSlots {
				t.Fatalf("%s has %d of %d, bound %g", name, loads[name], total, bound)
			}
			r.Begin(name)
			loads[name]++
			total++
			if loads[name] > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				r.End(now, name, Result{OK: true})
				loads[name]--
				total--
			}
		}
	})
}

// TestMinimalMoves checks that the prefixes of an endpoint do not move when other hosts leave.
func TestMinimalMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := rapid.IntRange(4, 40).Draw(t, "runners")
		cfg := testConfiguration(runners, 1, 1)
		r := NewRouter(dataCentreName(0))
		r.SetTable(Compile(cfg))
		seed := rapid.Uint64().Draw(t, "seed")
		before := affinityOf(t, r, seed)
		leaving := rapid.SliceOfNDistinct(rapid.IntRange(0, runners-1), 1, 3, rapid.ID[int]).Draw(t, "leaving")
		left := make(map[string]bool)
		for _, i := range leaving {
			r.SetHostState(fleet.HostState{Host: cfg.Hosts[i].Name, Instance: "1", Phase: fleet.PhaseLeaving})
			left[cfg.Endpoints[i].Name] = true
		}
		for i, name := range affinityOf(t, r, seed) {
			if name != before[i] && !left[before[i]] {
				t.Fatalf("prefix moved from %s, which stays, to %s", before[i], name)
			}
		}
	})
}

func affinityOf(t *rapid.T, r *Router, seed uint64) []string {
	var names []string
	for i := range uint64(50) {
		choice, err := r.Choose(testStart, i, testQuery(mix(seed+i)))
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, choice.Endpoint.Name)
	}
	return names
}

func TestEjectionCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := rapid.IntRange(1, 30).Draw(t, "runners")
		cfg := testConfiguration(runners, 1, 1)
		r := NewRouter(dataCentreName(0))
		r.SetTable(Compile(cfg))
		now := testStart
		for range rapid.IntRange(1, 300).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := cfg.Endpoints[rapid.IntRange(0, runners-1).Draw(t, "endpoint")].Name
			r.End(now, name, Result{Failed: true})
			ejected := 0
			for _, endpoint := range cfg.Endpoints {
				if r.state(endpoint.Name).ejected(now) {
					ejected++
				}
			}
			if float64(ejected) > maxEjectedShare*float64(runners) {
				t.Fatalf("%d of %d ejected", ejected, runners)
			}
		}
		if _, err := r.Choose(now, 1, testQuery()); errors.Is(err, ErrNoEndpoint) {
			t.Fatal("the cap left no endpoint")
		}
	})
}

// TestNestedPopularPrefixes uses prompts that share a long preamble and parts of a tree below
// it. However many popular prefixes there are, every prompt gets an endpoint, and a new prompt
// gets the same one when it is decided again.
func TestNestedPopularPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRouter(dataCentreName(0))
		r.SetTable(Compile(testConfiguration(rapid.IntRange(1, 300).Draw(t, "runners"), 1, 1)))
		preamble := rapid.IntRange(0, 8).Draw(t, "preamble")
		levels := rapid.IntRange(1, 6).Draw(t, "levels")
		fanOut := rapid.Uint64Range(2, 6).Draw(t, "fan-out")
		prompt := func(leaf uint64) Query {
			q := testQuery()
			for level := range preamble {
				q.PrefixHashes = append(q.PrefixHashes, mix(uint64(level)+1))
			}
			path := uint64(preamble + 100)
			for level := range levels {
				path = mix(path + leaf>>(8*level)%fanOut)
				q.PrefixHashes = append(q.PrefixHashes, path)
			}
			q.PrefixHashes = append(q.PrefixHashes, mix(path+leaf))
			return q
		}
		seed := rapid.Uint64().Draw(t, "seed")
		for i := range uint64(400) {
			if _, err := r.Choose(testStart, i, prompt(mix(seed+i))); err != nil {
				t.Fatal(err)
			}
		}
		for i := range uint64(10) {
			q := prompt(mix(seed + 1000 + i))
			first := r.Explain(testStart, q).Choice.Endpoint.Name
			second := r.Explain(testStart.Add(1), q).Choice.Endpoint.Name
			if first != second || first == "" {
				t.Fatalf("one prompt went to %q and %q", first, second)
			}
		}
	})
}
