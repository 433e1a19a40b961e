package capacity

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func fourDataCentres(onDemand, reclaimable int) []DataCentreEndpoints {
	var list []DataCentreEndpoints
	for _, dc := range []string{"a", "b", "c", "d"} {
		list = append(list, DataCentreEndpoints{DataCentre: dc, Price: 1, OnDemand: onDemand, Reclaimable: reclaimable})
	}
	return list
}

var normalDemand = EngineDemand{RequestsPerSecond: 40, PromptTokens: 4000, OutputTokens: 200, Slots: 64}

// TestMinEnginesIsPlannedFor checks that the given minimum is planned for while there is no
// demand.
func TestMinEnginesIsPlannedFor(t *testing.T) {
	is := is.New(t)
	s := EndpointSnapshot{PerDataCentre: fourDataCentres(3, 0), Min: 1, Max: 6, ReclaimablePriceRatio: 0.2, MinEngines: 8}
	total := 0
	for _, c := range PlanEndpointCounts(s) {
		total += c.OnDemand + c.Reclaimable
	}
	is.True(total >= 8+4*3)
}

// TestEndpointsAreOrderedForWhatRateLimitsTakeAway has a third of the endpoints accept next to nothing.
func TestEndpointsAreOrderedForWhatRateLimitsTakeAway(t *testing.T) {
	is := is.New(t)
	s := EndpointSnapshot{
		Demand: normalDemand, PerDataCentre: fourDataCentres(0, 3), Min: 1, Max: 12, ReclaimablePriceRatio: 0.2,
	}
	count := func() int {
		total := 0
		for _, c := range PlanEndpointCounts(s) {
			total += c.Reclaimable + c.OnDemand
		}
		return total
	}
	before := count()
	s.RateLimits = []float64{0, 0, 0, 0}
	is.True(count() >= before+4)
	s.RateLimits = []float64{1000, 1000} // more than they can serve
	is.Equal(count(), before)
}

// TestReclaimableEndpointsReplaceOnDemandOnes checks that on-demand endpoints are given up once
// the reclaimable ones are there, and not before.
func TestReclaimableEndpointsReplaceOnDemandOnes(t *testing.T) {
	is := is.New(t)
	s := EndpointSnapshot{
		Demand: normalDemand, PerDataCentre: fourDataCentres(3, 0), Min: 1, Max: 6, ReclaimablePriceRatio: 0.2,
	}
	before := 0
	for _, c := range PlanEndpointCounts(s) {
		before += c.OnDemand
		is.True(c.Reclaimable > 0)
	}
	is.True(float64(before) >= EnginesNeeded(normalDemand))
	s.PerDataCentre = fourDataCentres(3, 6)
	for _, c := range PlanEndpointCounts(s) {
		is.Equal(c.OnDemand, 0)
	}
}

// TestOnDemandEndpointsCoverUnavailableOnes has three data centres lose their reclaimable
// endpoints while new ones are refused.
func TestOnDemandEndpointsCoverUnavailableOnes(t *testing.T) {
	is := is.New(t)
	dataCentres := fourDataCentres(0, 6)
	for i := range 3 {
		dataCentres[i].Reclaimable = 0
	}
	busy := EngineDemand{RequestsPerSecond: 90, PromptTokens: 4000, OutputTokens: 200, Slots: 64}
	s := EndpointSnapshot{
		Demand: busy, PerDataCentre: dataCentres, Min: 1, Max: 6, ReclaimablePriceRatio: 0.2, ReclaimableRefused: true,
	}
	onDemand := 0
	for _, c := range PlanEndpointCounts(s) {
		onDemand += c.OnDemand
	}
	is.True(float64(onDemand+6) >= EnginesNeeded(busy)*onDemandCoverShare)
	s.ReclaimableRefused = false
	for _, c := range PlanEndpointCounts(s) {
		is.Equal(c.OnDemand, 0) // replacement reclaimable endpoints come as fast
	}
}

// TestOnDemandEndpointsStayWhileOthersAreRefused guards against on-demand endpoints that are
// given up and ordered again in turn while reclaimable ones are refused. Each new one costs a boot.
func TestOnDemandEndpointsStayWhileOthersAreRefused(t *testing.T) {
	is := is.New(t)
	s := EndpointSnapshot{
		Demand: normalDemand, PerDataCentre: fourDataCentres(1, 2), Min: 1, Max: 6,
		ReclaimablePriceRatio: 0.2, ReclaimableRefused: true,
	}
	for _, c := range PlanEndpointCounts(s) {
		is.Equal(c.OnDemand, 1)
	}
}

// TestExistingOnDemandEndpointsStayUntilReplaced covers a maximum that is too low for both kinds
// at once: on-demand endpoints that exist stay until reclaimable ones are there.
func TestExistingOnDemandEndpointsStayUntilReplaced(t *testing.T) {
	is := is.New(t)
	s := EndpointSnapshot{
		Demand: normalDemand, PerDataCentre: fourDataCentres(0, 0), Min: 1, Max: 4, ReclaimablePriceRatio: 0.2,
	}
	s.PerDataCentre[0].OnDemand, s.PerDataCentre[1].OnDemand = 3, 2
	counts := PlanEndpointCounts(s)
	is.Equal(counts[0].OnDemand, 3)
	is.Equal(counts[1].OnDemand, 2)
	is.Equal(counts[0].Reclaimable, 1) // the rest of the maximum
}

// TestSmallBatchesNeedMoreEngines checks that a token costs more engine time when fewer
// requests share a batch step.
func TestSmallBatchesNeedMoreEngines(t *testing.T) {
	is := is.New(t)
	small := normalDemand
	small.Slots = 12
	is.True(EnginesNeeded(small) > 1.2*EnginesNeeded(normalDemand))
}

func TestCountsStayWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := EndpointSnapshot{
			Min: 1, Max: rapid.IntRange(1, 8).Draw(t, "max"),
			ReclaimablePriceRatio: rapid.Float64Range(0, 1).Draw(t, "price"),
			MinEngines:            rapid.Float64Range(0, 20).Draw(t, "need"),

			ReclaimableRefused: rapid.Bool().Draw(t, "refused"),
			Demand: EngineDemand{
				RequestsPerSecond: rapid.Float64Range(0, 500).Draw(t, "rate"),
				PromptTokens:      rapid.Float64Range(0, 20000).Draw(t, "prompt"),
				OutputTokens:      rapid.Float64Range(0, 1000).Draw(t, "output"),
				Slots:             rapid.IntRange(0, 128).Draw(t, "slots"),
			},
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "sites") {
			s.PerDataCentre = append(s.PerDataCentre, DataCentreEndpoints{
				DataCentre: string(rune('a' + i)), Price: rapid.Float64Range(0.5, 2).Draw(t, "site price"),
				OnDemand:    rapid.IntRange(0, s.Max).Draw(t, "on demand"),
				Reclaimable: rapid.IntRange(0, s.Max).Draw(t, "reclaimable"),
			})
		}
		for _, c := range PlanEndpointCounts(s) {
			if c.OnDemand < 0 || c.Reclaimable < 0 || c.OnDemand+c.Reclaimable > s.Max || c.OnDemand+c.Reclaimable < s.Min {
				t.Fatalf("%+v is out of bounds", c)
			}
		}
	})
}

// reclaimWave plays a fleet of reclaimable endpoints that data centres lose one after the other, while no
// replacement is to be had anywhere, and returns the smallest share of the load that the endpoints could
// serve. Orders take effect after the boot time.
func reclaimWave(t *testing.T, demand EngineDemand, perDataCentre int, lossAt []int) float64 {
	t.Helper()
	const bootSeconds, endSeconds = 4, 36
	dataCentres := fourDataCentres(0, perDataCentre)
	arrivals := map[int][]EndpointCount{}
	worst := 1.0
	for second := range endSeconds {
		for i, at := range lossAt {
			if second == at {
				dataCentres[i].Reclaimable = 0
			}
		}
		for _, c := range arrivals[second] {
			for i := range dataCentres {
				if dataCentres[i].DataCentre == c.DataCentre {
					dataCentres[i].OnDemand = max(dataCentres[i].OnDemand, c.OnDemand)
				}
			}
		}
		capacity := 0
		for _, dc := range dataCentres {
			capacity += dc.OnDemand + dc.Reclaimable
		}
		// Above the target utilisation an engine still serves, up to all of its time.
		worst = min(worst, float64(capacity)/(EnginesNeeded(demand)*targetUtilisation))
		plan := PlanEndpointCounts(EndpointSnapshot{
			Demand: demand, PerDataCentre: dataCentres, Min: 1, Max: 70,
			ReclaimablePriceRatio: 0.15, ReclaimableRefused: second > lossAt[0],
		})
		arrivals[second+bootSeconds] = plan
		for i, c := range plan {
			// What is no longer ordered leaves at once.
			dataCentres[i].OnDemand = min(dataCentres[i].OnDemand, c.OnDemand)
			dataCentres[i].Reclaimable = min(dataCentres[i].Reclaimable, c.Reclaimable)
		}
	}
	return worst
}

// TestReclaimsInARowLeaveEnoughEngines plays the load of a busy assistant site, with long prompts, through
// four data centres that lose their reclaimable endpoints within 17 seconds. Even in the worst second the
// endpoints that are left must be able to serve most of the load.
func TestReclaimsInARowLeaveEnoughEngines(t *testing.T) {
	is := is.New(t)
	demand := EngineDemand{RequestsPerSecond: 350, PromptTokens: 9000, OutputTokens: 120, Slots: 64}
	for _, perDataCentre := range []int{30, 39} {
		share := reclaimWave(t, demand, perDataCentre, []int{6, 12, 13, 23})
		t.Logf("%d endpoints a data centre: at least %.2f of the load", perDataCentre, share)
		is.True(share >= 0.85)
	}
}
