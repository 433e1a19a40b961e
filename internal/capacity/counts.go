package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EngineDemand is the demand on a fleet of engines.
type EngineDemand struct {
	RequestsPerSecond float64
	// PromptTokens and OutputTokens are means per request.
	PromptTokens float64
	OutputTokens float64
	// Slots is the maximum batch size of an engine.
	Slots int
}

// DataCentreEndpoints is the part of a fleet in one data centre, as input of
// PlanEndpointCounts.
type DataCentreEndpoints struct {
	DataCentre string
	// Price is the price of an on-demand endpoint.
	Price float64
	// OnDemand and Reclaimable are the numbers of endpoints that are there and not leaving.
	OnDemand    int
	Reclaimable int
}

// EndpointSnapshot is the input of PlanEndpointCounts for one fleet.
type EndpointSnapshot struct {
	Demand        EngineDemand
	PerDataCentre []DataCentreEndpoints
	// Min and Max bound the sum of both kinds of endpoints in one data centre.
	Min, Max int
	// ReclaimableRefused means that reclaimable endpoints were unavailable recently.
	ReclaimableRefused bool
	// KeepOnDemand plans for as many on-demand endpoints as there are, within Min and Max and
	// regardless of the demand, for example while it is not yet known which exist. It has no
	// effect if no reclaimable endpoints are planned.
	KeepOnDemand bool
	// MinEngines is the number of engines to plan for even if the demand needs fewer.
	MinEngines float64
	// RateLimits are the limits that present endpoints state, in requests a second.
	RateLimits []float64
	// ReclaimablePriceRatio is the price of a reclaimable endpoint as a fraction of the
	// on-demand price; zero if there are no reclaimable ones. From 1 on, none are planned.
	ReclaimablePriceRatio float64
}

// EndpointCount is the desired number of endpoints in one data centre.
type EndpointCount struct {
	DataCentre  string
	OnDemand    int
	Reclaimable int
}

const (
	// prefillTokensPerMilli is the rate at which an engine computes prompts, in tokens per
	// millisecond.
	prefillTokensPerMilli = 50.0
	// uncachedShare is the share of the prompt tokens that are not cached and have to be
	// computed.
	uncachedShare = 0.55
	// stepBaseMillis and stepMillisPerRequest give the time in which an engine generates one
	// token for each request of its batch.
	stepBaseMillis       = 3.0
	stepMillisPerRequest = 0.1
	// batchShare is the share of an engine's slots that is filled at good utilisation.
	batchShare = 0.75
	// targetUtilisation leaves room for bursts of requests and for prompts that arrive
	// together.
	targetUtilisation = 0.62
	// afterTwoLossesShare is the share of the need that the remaining endpoints carry after two
	// data centres have lost their reclaimable ones. Covering more costs more than it saves.
	afterTwoLossesShare = 0.85
	// onDemandCoverShare is the share of the need up to which on-demand endpoints are added to
	// the reclaimable ones. It is below 1 because on-demand endpoints cost several times as
	// much and a shortage of reclaimable ones is short.
	onDemandCoverShare = 0.8
	// aheadOfOneLossShare and aheadOfTwoLossesShare are the shares of the need that, while
	// reclaimable endpoints are unavailable, must remain covered if one or two more data centres
	// lose theirs. Reclaims come in waves, and on-demand endpoints that are ordered only then arrive
	// a boot time too late.
	aheadOfOneLossShare   = 1.0
	aheadOfTwoLossesShare = 0.6
)

// EnginesNeeded returns the number of engines that can serve the demand; it is not rounded.
func EnginesNeeded(d EngineDemand) float64 {
	batch := max(float64(d.Slots)*batchShare, 1)
	perToken := (stepBaseMillis + stepMillisPerRequest*batch) / batch
	millis := d.PromptTokens*uncachedShare/prefillTokensPerMilli + d.OutputTokens*perToken
	return d.RequestsPerSecond * millis / 1000 / targetUtilisation
}

// enginesLost returns how many engines the rate limits of present endpoints take away from those that are
// needed.
func enginesLost(s EndpointSnapshot) float64 {
	needed := EnginesNeeded(s.Demand)
	if needed <= 0 || s.Demand.RequestsPerSecond <= 0 {
		return 0
	}
	perEngine := s.Demand.RequestsPerSecond / needed
	lost := 0.0
	for _, limit := range s.RateLimits {
		lost += max(1-limit/perEngine, 0)
	}
	return lost
}

// PlanEndpointCounts decides how many endpoints each data centre should have. Reclaimable
// endpoints carry the load and are spread so that the rest meets the need when one data centre
// loses its own, and afterTwoLossesShare of it when two do. On-demand endpoints are given up
// once the reclaimable ones that replace them are there, and ordered again when reclaimable ones
// are unavailable. If reclaimable endpoints do not exist or are not cheaper, only on-demand ones
// are planned, enough for the loss of one of several data centres. Max limits all counts.
func PlanEndpointCounts(s EndpointSnapshot) []EndpointCount {
	need := max(EnginesNeeded(s.Demand), s.MinEngines) + enginesLost(s)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 {
		return planOnDemand(s, need)
	}
	perDataCentre := reclaimablePerDataCentre(s, need)
	counts := make([]EndpointCount, len(s.PerDataCentre))
	for i, dc := range s.PerDataCentre {
		counts[i] = EndpointCount{DataCentre: dc.DataCentre, Reclaimable: perDataCentre}
		if s.ReclaimableRefused {
			counts[i].Reclaimable = min(dc.Reclaimable, s.Max)
		}
	}
	placeOnDemand(s, counts, requiredOnDemand(s, counts, need))
	for i := range counts {
		// Reclaimable endpoints that are unavailable now are still requested, as far as the
		// maximum allows. Those that are there are kept, as they could not be replaced.
		wanted := perDataCentre
		if s.ReclaimableRefused {
			wanted = max(wanted, s.PerDataCentre[i].Reclaimable)
		}
		counts[i].Reclaimable = min(wanted, s.Max-counts[i].OnDemand)
	}
	enforceMinimum(s, counts)
	return counts
}

// requiredOnDemand returns the number of on-demand endpoints that cover what reclaimable ones
// cannot, including those that are kept until the reclaimable ones that replace them are there. With
// KeepOnDemand it is the number of existing ones.
func requiredOnDemand(s EndpointSnapshot, counts []EndpointCount, need float64) int {
	present, expected, existing := 0, 0, 0
	losses := make([]int, len(s.PerDataCentre))
	for i, dc := range s.PerDataCentre {
		losses[i] = min(dc.Reclaimable, counts[i].Reclaimable)
		present += losses[i]
		expected += counts[i].Reclaimable
		existing += dc.OnDemand
	}
	if s.KeepOnDemand {
		return existing
	}
	kept := min(existing, int(math.Ceil(need))-present)
	missing := int(math.Ceil(need*onDemandCoverShare)) - expected
	if s.ReclaimableRefused {
		// The next data centres may be lost as well, and no replacement comes for a while.
		kept = min(existing, int(math.Ceil(need)))
		slices.SortFunc(losses, func(a, b int) int { return cmp.Compare(b, a) })
		for i, share := range []float64{aheadOfOneLossShare, aheadOfTwoLossesShare} {
			if i < len(losses) {
				expected -= losses[i]
			}
			missing = max(missing, int(math.Ceil(need*share))-expected)
		}
	}
	return max(missing, kept, 0)
}

// reclaimablePerDataCentre returns how many reclaimable endpoints each data centre needs, so that
// the remaining data centres meet the need after one is lost, and afterTwoLossesShare of it after
// two are lost. The result is at least 1 and at least Min, but never more than Max.
func reclaimablePerDataCentre(s EndpointSnapshot, need float64) int {
	afterOne := math.Ceil(need / float64(max(len(s.PerDataCentre)-1, 1)))
	afterTwo := math.Ceil(need * afterTwoLossesShare / float64(max(len(s.PerDataCentre)-2, 1)))
	perDataCentre := int(max(afterOne, afterTwo))
	return min(max(perDataCentre, s.Min, 1), s.Max)
}

// placeOnDemand assigns on-demand endpoints first to the data centres that already have them
// and then to the cheapest ones, up to the maximum. Reclaimable endpoints that are requested but
// not there yet do not count towards the maximum: existing endpoints are not given up for
// endpoints that may never come.
func placeOnDemand(s EndpointSnapshot, counts []EndpointCount, required int) {
	order := make([]int, len(s.PerDataCentre))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.PerDataCentre[a].Price, s.PerDataCentre[b].Price)
	})
	for pass := range 2 {
		for _, i := range order {
			dc := s.PerDataCentre[i]
			limit := s.Max - min(counts[i].Reclaimable, dc.Reclaimable)
			if pass == 0 {
				limit = min(limit, dc.OnDemand)
			}
			for required > 0 && counts[i].OnDemand < limit {
				counts[i].OnDemand++
				required--
			}
		}
	}
}

// enforceMinimum adds on-demand endpoints where the counts are below the minimum.
func enforceMinimum(s EndpointSnapshot, counts []EndpointCount) {
	for i := range counts {
		missing := s.Min - counts[i].OnDemand - counts[i].Reclaimable
		counts[i].OnDemand += max(missing, 0)
	}
}

func planOnDemand(s EndpointSnapshot, need float64) []EndpointCount {
	remaining := max(len(s.PerDataCentre)-1, 1)
	perDataCentre := min(max(int(math.Ceil(need/float64(remaining))), s.Min, 1), s.Max)
	counts := make([]EndpointCount, len(s.PerDataCentre))
	for i, dc := range s.PerDataCentre {
		counts[i] = EndpointCount{DataCentre: dc.DataCentre, OnDemand: perDataCentre}
	}
	return counts
}

// PeakDemand holds the recent peak of the demand and lets it decay, so that a short drop does
// not give up endpoints that the next rise needs.
type PeakDemand struct {
	held EngineDemand
	at   time.Time
}

// peakHalfLife is the time in which the held peak falls to half.
const peakHalfLife = 20 * time.Second

// Update records the current demand and returns the demand to plan for: the current demand or the
// decayed peak, whichever needs more engines.
func (p *PeakDemand) Update(now time.Time, d EngineDemand) EngineDemand {
	elapsed := now.Sub(p.at)
	if p.at.IsZero() || EnginesNeeded(d) >= EnginesNeeded(p.held) {
		p.held, p.at = d, now
		return d
	}
	p.held.RequestsPerSecond *= math.Exp2(-elapsed.Seconds() / peakHalfLife.Seconds())
	p.at = now
	if EnginesNeeded(d) > EnginesNeeded(p.held) {
		p.held = d
	}
	return p.held
}
