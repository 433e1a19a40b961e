package capacity

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

func TestThroughputFollowsTheTarget(t *testing.T) {
	is := is.New(t)
	target := testSettings().Target
	rate := Throughput(testClass, testDemand, target)
	is.True(rate > 0)
	slower := testClass
	slower.TokenInterval = 47 * time.Millisecond
	is.Equal(Throughput(slower, testDemand, target), 0.0) // even one stream misses the interval
	long := testDemand
	long.PromptTokens = 8000
	is.Equal(Throughput(testClass, long, target), 0.0) // prefill alone takes 0.5 s
	fewer := testClass
	fewer.TokenIntervalPerStream *= 2
	is.True(Throughput(fewer, testDemand, target) < rate) // half the streams meet the interval
}

func TestPlanSurvivesTheLossOfADataCentre(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(4, fleet.HostReclaimable, 100, 110, 120, 130)
	s := settle(t, testSnapshot(hosts, 2.9))
	is.Equal(readyCount(s, ""), 4) // three for the demand, one more for the loss
	for _, dc := range []string{"dc-0", "dc-1", "dc-2", "dc-3"} {
		is.Equal(readyCount(s, dc), 1)
	}
	none := testSnapshot(hosts, 2.9)
	none.Settings.Tolerance = ToleranceNone
	is.Equal(readyCount(settle(t, none), "dc-0"), 3) // all in the cheapest data centre
}

func TestPlanMixesKindsWhenReclaimableHostsAreFew(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(1, fleet.HostReclaimable, 100, 100, 100)
	hosts = append(hosts, testHosts(2, fleet.HostOnDemand, 290, 300, 310)...)
	s := testSnapshot(hosts, 2.9)
	s.Settings.Tolerance = ToleranceReclaim
	s = settle(t, s)
	is.Equal(readyCount(s, ""), 4)
	cost := int64(0)
	for _, h := range s.Hosts {
		if h.Phase == PhaseReady {
			cost += h.PricePerHour
		}
	}
	is.Equal(cost, int64(590)) // an on-demand host survives a reclaim in its data centre
}

func TestPlanFallsBackAfterARefusedStart(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(testHosts(2, fleet.HostReclaimable, 100, 110, 120), 1.5)
	first := Plan(s).Actions[0]
	is.Equal(first.Kind, ActionStart)
	place := Placement{"dc-0", testClass.Name, fleet.HostReclaimable}
	s.State = s.State.RecordRefusal(s.Now, 7, place, s.Settings)
	for _, a := range Plan(s).Actions {
		is.True(a.Host != "reclaimable-0-0" && a.Host != "reclaimable-0-1")
	}
	until := s.State.Refusals[0].Until.Sub(s.Now)
	is.True(until >= s.Settings.BackoffBase/2 && until < s.Settings.BackoffBase)
	s.State = s.State.RecordRefusal(s.Now, 7, place, s.Settings)
	is.True(s.State.Refusals[0].Until.Sub(s.Now) >= s.Settings.BackoffBase) // doubled
	is.Equal(len(s.State.RecordStart(place).Refusals), 0)
}

func TestPlanReplacesReclaimedHostsElsewhere(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(testHosts(4, fleet.HostReclaimable, 100, 110), 2.9)
	s.Settings.Tolerance = ToleranceNone
	s = settle(t, s)
	is.Equal(readyCount(s, "dc-0"), 3)
	i := slices.IndexFunc(s.Hosts, func(h Host) bool { return h.Phase == PhaseReady })
	s.Hosts[i].Phase = PhaseLeaving
	s.Hosts[i].Deadline = s.Now.Add(30 * time.Second)
	r := Plan(s)
	// The replacement is not in the placement that is being reclaimed.
	is.Equal(r.Actions, []Action{{Kind: ActionStart, Host: "reclaimable-1-0"}})
}

func TestPlanReplacesHostsOnlyForASufficientSaving(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		price  int64
		starts int
	}{{95, 0}, {80, 1}} {
		hosts := testHosts(1, fleet.HostReclaimable, 100, c.price)
		s := testSnapshot(hosts, 0.9)
		s.Settings.Tolerance = ToleranceNone
		s.Hosts[0].Phase = PhaseReady
		is.Equal(kinds(Plan(s))[ActionStart], c.starts)
	}
}

func TestPlanDelaysScaleIn(t *testing.T) {
	is := is.New(t)
	s := settle(t, testSnapshot(testHosts(4, fleet.HostReclaimable, 100, 110, 120, 130), 5.9))
	before := readyCount(s, "")
	s.Demands[0].RequestsPerSecond /= 3
	r := Plan(s)
	is.Equal(len(r.Actions), 0)
	is.True(len(r.State.SurplusHosts) > 0)
	s.State = r.State
	s.Now = s.Now.Add(s.Settings.ScaleInDelay)
	r = Plan(s)
	is.True(kinds(r)[ActionDrain] > 0)
	is.Equal(kinds(r)[ActionStop], 0) // drained before it is stopped
	s = applyPlan(s, r)
	is.True(kinds(Plan(s))[ActionStop] > 0)
	is.True(readyCount(s, "") < before)
}

func TestPlanStopsOnlyHostsReportedIdleAfterPropagation(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(1, fleet.HostReclaimable, 100)
	s := testSnapshot(hosts, 0)
	s.Hosts[0].Phase = PhaseLeaving
	s.Hosts[0].Since = s.Now
	s.Hosts[0].Idle = true
	s.Hosts[0].ReportedAt = s.Now.Add(time.Second)
	is.Equal(kinds(Plan(s))[ActionStop], 0) // a node may not know yet that the host is leaving
	s.Hosts[0].ReportedAt = s.Now.Add(s.Settings.DrainPropagationTime)
	is.Equal(kinds(Plan(s))[ActionStop], 1)
	s.Hosts[0].Idle = false
	is.Equal(kinds(Plan(s))[ActionStop], 0)
}

func TestPlanKeepsHostsUntilReplacementsAreReady(t *testing.T) {
	is := is.New(t)
	hosts := testHosts(2, fleet.HostReclaimable, 100, 100)
	hosts = append(hosts, testHosts(1, fleet.HostOnDemand, 300, 300)...)
	s := testSnapshot(hosts, 0.9)
	for i := range s.Hosts {
		if s.Hosts[i].Kind == fleet.HostOnDemand {
			s.Hosts[i].Phase = PhaseReady
		}
	}
	s.Settings.ScaleInDelay = 0
	r := Plan(s)
	is.Equal(kinds(r)[ActionStart], 2) // the cheaper ones save enough
	is.Equal(kinds(r)[ActionDrain], 0) // the replacements are not ready yet
	s = settle(t, s)
	is.Equal(readyCount(s, ""), 2)
	is.Equal(s.Hosts[0].Phase, PhaseReady)
}

func TestPlanReportsAShortfall(t *testing.T) {
	is := is.New(t)
	s := settle(t, testSnapshot(testHosts(1, fleet.HostReclaimable, 100, 110), 5))
	is.Equal(readyCount(s, ""), 2) // all there is
	is.Equal(len(Plan(s).Shortfalls), 1)
}

func TestPlanExtrapolatesDemandByTheStartTime(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(testHosts(4, fleet.HostReclaimable, 100, 110, 120), 1.9)
	flat := settle(t, s)
	s.Demands[0].Growth = s.Demands[0].RequestsPerSecond / s.Settings.LoadTime.Seconds()
	is.True(readyCount(settle(t, s), "") > readyCount(flat, ""))
}
