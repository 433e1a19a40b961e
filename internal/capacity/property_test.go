package capacity

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		r := Plan(s)
		if !reflect.DeepEqual(r, Plan(s)) {
			t.Fatalf("two plans of one snapshot differ")
		}
		loading := 0
		for _, h := range s.Hosts {
			if h.Phase == PhaseLoading {
				loading++
			}
		}
		for _, a := range r.Actions {
			h := s.Hosts[slices.IndexFunc(s.Hosts, func(h Host) bool { return h.Name == a.Host })]
			switch a.Kind {
			case ActionStop:
				if !h.Idle || h.Phase != PhaseLeaving {
					t.Fatalf("stops a host that is not both leaving and idle: %+v", h)
				}
			case ActionDrain:
				if h.Phase != PhaseReady {
					t.Fatalf("drains a host that is not ready: %+v", h)
				}
			case ActionStart:
				if s.State.InBackoff(s.Now, h.Placement()) {
					t.Fatalf("starts a host of a placement that is in backoff: %+v", h)
				}
			case ActionLoad:
				loading++
				if loading > s.Settings.ParallelLoads {
					t.Fatalf("%d hosts load at once", loading)
				}
			}
		}
	})
}

func TestPlanSettlesAndSurvivesAnyLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.State = State{}
		for i := range s.Hosts {
			s.Hosts[i].Deadline = time.Time{}
			if s.Hosts[i].Phase == PhaseLeaving {
				s.Hosts[i].Phase = PhaseStopped
			}
			if s.Hosts[i].Phase == PhaseBooting || s.Hosts[i].Phase == PhaseLoading {
				s.Hosts[i].Phase = PhaseWaiting
			}
			s.Hosts[i].MissingModels = []string{"m"}
		}
		p := newPlanner(s)
		n, rates := p.requiredRate(s.Demands[0]), p.rates(s.Demands[0])
		s = settle(t, s)
		all, ready := newSelection(n), newSelection(n)
		for i := range s.Hosts {
			h := &s.Hosts[i]
			c := candidate{h, rates[h.Class], slices.Index(p.dataCentres, h.DataCentre)}
			all.add(c)
			if h.Phase == PhaseReady {
				ready.add(c)
			}
		}
		if ready.shortfall() > all.shortfall()+rateEpsilon {
			t.Fatalf("shortfall is %v with the ready hosts, %v with all hosts", ready.shortfall(), all.shortfall())
		}
	})
}

// TestCheapestMatchesEnumeration compares the result with all possible sets of hosts of one
// class.
func TestCheapestMatchesEnumeration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []candidate
		for i := range rapid.IntRange(1, 9).Draw(t, "hosts") {
			candidates = append(candidates, candidate{rate: 1, dataCentre: rapid.IntRange(0, 3).Draw(t, "dc"), host: &Host{
				Name:         fmt.Sprint(i),
				Kind:         rapid.SampledFrom([]fleet.HostKind{fleet.HostReclaimable, fleet.HostOnDemand}).Draw(t, "kind"),
				PricePerHour: int64(rapid.IntRange(1, 30).Draw(t, "price")),
			}})
		}
		demand := rapid.Float64Range(0.1, 4).Draw(t, "demand")
		n := need{steady: demand, afterLoss: demand, tolerance: ToleranceDataCentre, dataCentres: 4}
		found := cheapest(n, nil, candidates)
		for set := range 1 << len(candidates) {
			other := newSelection(n)
			for i, c := range candidates {
				if set&(1<<i) != 0 {
					other.add(c)
				}
			}
			if other.shortfall() == 0 && (found.shortfall() > 0 || other.cost < found.cost) {
				t.Fatalf("found cost %d with shortfall %v, but cost %d without shortfall is possible",
					found.cost, found.shortfall(), other.cost)
			}
		}
	})
}

func drawSnapshot(t *rapid.T) Snapshot {
	s := testSnapshot(nil, rapid.Float64Range(0, 12).Draw(t, "load"))
	s.Settings.ScaleInDelay = time.Duration(rapid.IntRange(0, 1).Draw(t, "hold")) * time.Minute
	s.Settings.ParallelLoads = rapid.IntRange(1, 3).Draw(t, "loads")
	s.Settings.Tolerance = rapid.SampledFrom([]Tolerance{ToleranceNone, ToleranceReclaim, ToleranceDataCentre}).Draw(t, "tolerance")
	small := testClass
	small.Name, small.Slots = "small", 6
	s.Classes = append(s.Classes, small)
	for i := range rapid.IntRange(1, 24).Draw(t, "hosts") {
		s.Hosts = append(s.Hosts, drawHost(t, i))
	}
	for range rapid.IntRange(0, 3).Draw(t, "refusals") {
		place := s.Hosts[rapid.IntRange(0, len(s.Hosts)-1).Draw(t, "refused")].Placement()
		s.State = s.State.RecordRefusal(s.Now, rapid.Uint64().Draw(t, "jitter"), place, s.Settings)
	}
	return s
}

func drawHost(t *rapid.T, i int) Host {
	h := Host{
		Name:          fmt.Sprintf("h%02d", i),
		Endpoint:      fmt.Sprintf("e%02d", i),
		DataCentre:    rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "dc"),
		Class:         rapid.SampledFrom([]string{testClass.Name, "small"}).Draw(t, "class"),
		Kind:          rapid.SampledFrom([]fleet.HostKind{fleet.HostReclaimable, fleet.HostOnDemand}).Draw(t, "kind"),
		PricePerHour:  int64(rapid.IntRange(50, 400).Draw(t, "price")),
		Fleet:         testFleet,
		Phase:         rapid.SampledFrom([]Phase{PhaseStopped, PhaseBooting, PhaseWaiting, PhaseLoading, PhaseReady, PhaseLeaving}).Draw(t, "phase"),
		Since:         testNow.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second),
		Idle:          rapid.Bool().Draw(t, "empty"),
		ReportedAt:    testNow,
		MissingModels: []string{"m"},
	}
	if h.Phase == PhaseLeaving && rapid.Bool().Draw(t, "noticed") {
		h.Deadline = testNow.Add(20 * time.Second)
	}
	return h
}
