package capacity

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

const testFleet = "model"

var (
	testNow   = time.Unix(1_000_000, 0)
	testClass = Class{
		Name:                   "large",
		Slots:                  16,
		PrefillTokensPerSecond: 16000,
		TokenInterval:          18 * time.Millisecond,
		TokenIntervalPerStream: 1750 * time.Microsecond,
	}
	testDemand = Demand{Fleet: testFleet, PromptTokens: 1500, PromptVariation: 0.2, OutputTokens: 250}
)

func testSettings() Settings {
	s := DefaultSettings()
	s.MinimumRate = 0.001
	return s
}

// testHosts returns stopped hosts: in each data centre count hosts of the kind, at the price
// given for the data centre.
func testHosts(count int, kind fleet.HostKind, prices ...int64) []Host {
	var hosts []Host
	for dc, price := range prices {
		for i := range count {
			hosts = append(hosts, Host{
				Name:          fmt.Sprintf("%s-%d-%d", kind, dc, i),
				DataCentre:    fmt.Sprintf("dc-%d", dc),
				Class:         testClass.Name,
				Kind:          kind,
				PricePerHour:  price,
				Fleet:         testFleet,
				Endpoint:      fmt.Sprintf("endpoint-%s-%d-%d", kind, dc, i),
				Phase:         PhaseStopped,
				MissingModels: []string{"m"},
			})
		}
	}
	return hosts
}

func testSnapshot(hosts []Host, load float64) Snapshot {
	d := testDemand
	s := testSettings()
	d.RequestsPerSecond = load * Throughput(testClass, d, s.Target)
	return Snapshot{Now: testNow, Hosts: hosts, Demands: []Demand{d}, Classes: []Class{testClass}, Settings: s}
}

// applyPlan applies a plan as if its actions took no time.
func applyPlan(s Snapshot, r Result) Snapshot {
	s.Hosts = slices.Clone(s.Hosts)
	s.State = r.State
	for _, a := range r.Actions {
		i := slices.IndexFunc(s.Hosts, func(h Host) bool { return h.Name == a.Host })
		h := &s.Hosts[i]
		h.Since = s.Now
		switch a.Kind {
		case ActionStart:
			h.Phase = PhaseWaiting
		case ActionLoad:
			h.Phase = PhaseReady
			h.MissingModels = nil
		case ActionDrain:
			h.Phase = PhaseLeaving
			h.Idle = true
			h.ReportedAt = s.Now.Add(s.Settings.DrainPropagationTime)
		case ActionStop:
			h.Phase = PhaseStopped
			h.MissingModels = []string{"m"}
		}
	}
	return s
}

// settle applies plans until one is empty. It fails the test if 400 plans are not enough.
func settle(t rapid.TB, s Snapshot) Snapshot {
	t.Helper()
	for range 400 {
		r := Plan(s)
		if len(r.Actions) == 0 {
			s.State = r.State
			return s
		}
		s = applyPlan(s, r)
	}
	t.Fatalf("plans did not become empty after 400 rounds")
	return s
}

func readyCount(s Snapshot, dataCentre string) int {
	count := 0
	for _, h := range s.Hosts {
		if h.Phase == PhaseReady && (dataCentre == "" || h.DataCentre == dataCentre) {
			count++
		}
	}
	return count
}

func kinds(r Result) map[ActionKind]int {
	count := map[ActionKind]int{}
	for _, a := range r.Actions {
		count[a.Kind]++
	}
	return count
}
