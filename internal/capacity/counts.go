package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EngineDemand is what callers ask of a fleet of engines.
type EngineDemand struct {
	RequestsPerSecond float64
	// PromptTokens and OutputTokens are means of a request.
	PromptTokens float64
	OutputTokens float64
	// Slots is the size of an engine's batch.
	Slots int
}

// DataCentreEndpoints is one data centre's part of a fleet that is ordered by numbers.
type DataCentreEndpoints struct {
	DataCentre string
	// Price is that of an on-demand endpoint.
	Price float64
	// OnDemand and Reclaimable are the endpoints that are there and stay.
	OnDemand    int
	Reclaimable int
}

// EndpointSnapshot is what a plan by numbers depends on.
type EndpointSnapshot struct {
	Demand        EngineDemand
	PerDataCentre []DataCentreEndpoints
	// Min and Max bound both kinds of endpoints together in one data centre.
	Min, Max int
	// ReclaimableRefused tells that there were none to be had of late.
	ReclaimableRefused bool
	// KeepOnDemand gives no on-demand endpoints back, such as while it is not yet known which
	// there are.
	KeepOnDemand bool
	// MinEngines is the number of engines to plan for whatever the demand.
	MinEngines float64
	// ReclaimablePriceRatio is the part of an on-demand price; zero if there are none.
	ReclaimablePriceRatio float64
}

// EndpointCount is the wanted number of endpoints in one data centre.
type EndpointCount struct {
	DataCentre  string
	OnDemand    int
	Reclaimable int
}

const (
	// prefillTokensPerMilli is how fast an engine reads prompts.
	prefillTokensPerMilli = 50.0
	// uncachedShare of prompts has to be read.
	uncachedShare = 0.55
	// stepMillis and stepMillisPerRequest are an engine's time for one token of each request
	// of its batch.
	stepMillis           = 3.0
	stepMillisPerRequest = 0.1
	// batchShare of an engine's slots is filled when it is well used.
	batchShare = 0.75
	// targetUtilisation leaves room for waves and for prompts that come together.
	targetUtilisation = 0.62
	// afterTwoShare of the need is carried by what is left when two data centres have lost
	// their reclaimable endpoints; more does not pay.
	afterTwoShare = 0.85
	// coverShare of the need is covered by on-demand endpoints while reclaimable ones cannot
	// be had: they cost several times as much, and the loss is short.
	coverShare = 0.8
	// coverAheadShare is covered beyond the loss of one more data centre.
	coverAheadShare = 0.5
)

// EnginesNeeded is the number of engines that carry a demand.
func EnginesNeeded(d EngineDemand) float64 {
	batch := max(float64(d.Slots)*batchShare, 1)
	perToken := (stepMillis + stepMillisPerRequest*batch) / batch
	millis := d.PromptTokens*uncachedShare/prefillTokensPerMilli + d.OutputTokens*perToken
	return d.RequestsPerSecond * millis / 1000 / targetUtilisation
}

// PlanEndpointCounts decides how many endpoints each data centre should have. Reclaimable ones
// carry the load, spread so that the rest suffices when some data centres lose theirs;
// on-demand ones go once the reclaimable are there, and come back for what cannot be had.
func PlanEndpointCounts(s EndpointSnapshot) []EndpointCount {
	need := max(EnginesNeeded(s.Demand), s.MinEngines)
	if s.ReclaimablePriceRatio <= 0 || s.ReclaimablePriceRatio >= 1 {
		return planOnDemand(s, need)
	}
	perSite := reclaimablePerSite(s, need)
	counts := make([]EndpointCount, len(s.PerDataCentre))
	for i, site := range s.PerDataCentre {
		counts[i] = EndpointCount{DataCentre: site.DataCentre, Reclaimable: perSite}
		if s.ReclaimableRefused {
			counts[i].Reclaimable = min(site.Reclaimable, perSite)
		}
	}
	spreadOnDemand(s, counts, onDemandWanted(s, counts, need))
	for i := range counts {
		// What is refused now is asked for again, as far as there is room.
		counts[i].Reclaimable = min(perSite, s.Max-counts[i].OnDemand)
	}
	keepMinimum(s, counts)
	return counts
}

// onDemandWanted covers what reclaimable endpoints cannot, and keeps on-demand ones until
// those that are to replace them are there.
func onDemandWanted(s EndpointSnapshot, counts []EndpointCount, need float64) int {
	present, expected, largest, standing := 0, 0, 0, 0
	for i, site := range s.PerDataCentre {
		present += min(site.Reclaimable, counts[i].Reclaimable)
		expected += counts[i].Reclaimable
		largest = max(largest, min(site.Reclaimable, counts[i].Reclaimable))
		standing += site.OnDemand
	}
	if s.KeepOnDemand {
		return standing
	}
	kept := min(standing, int(math.Ceil(need))-present)
	cover := int(math.Ceil(need*coverShare)) - expected
	if s.ReclaimableRefused {
		// The next data centre may go as well, and nothing comes back for a while.
		kept = min(standing, int(math.Ceil(need)))
		cover = max(cover, int(math.Ceil(need*coverAheadShare))-(expected-largest))
	}
	return max(cover, kept, 0)
}

// reclaimablePerSite is the number in each data centre with which the rest carry the need
// after the loss of one, and most of it after the loss of two.
func reclaimablePerSite(s EndpointSnapshot, need float64) int {
	afterOne := math.Ceil(need / float64(max(len(s.PerDataCentre)-1, 1)))
	afterTwo := math.Ceil(need * afterTwoShare / float64(max(len(s.PerDataCentre)-2, 1)))
	perSite := int(max(afterOne, afterTwo))
	return min(max(perSite, s.Min, 1), s.Max)
}

// spreadOnDemand places on-demand endpoints where they stand already, then where they cost
// least, within the bounds. Room that is only wished for reclaimable ones is taken: those that
// stand are not given back for endpoints that may not come.
func spreadOnDemand(s EndpointSnapshot, counts []EndpointCount, wanted int) {
	order := make([]int, len(s.PerDataCentre))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.PerDataCentre[a].Price, s.PerDataCentre[b].Price) })
	for pass := range 2 {
		for _, i := range order {
			site := s.PerDataCentre[i]
			room := s.Max - min(counts[i].Reclaimable, site.Reclaimable)
			if pass == 0 {
				room = min(room, site.OnDemand)
			}
			for wanted > 0 && counts[i].OnDemand < room {
				counts[i].OnDemand++
				wanted--
			}
		}
	}
}

// keepMinimum has an on-demand endpoint where others are given back before it can be
// replaced.
func keepMinimum(s EndpointSnapshot, counts []EndpointCount) {
	for i := range counts {
		lack := s.Min - counts[i].OnDemand - counts[i].Reclaimable
		counts[i].OnDemand += max(lack, 0)
	}
}

func planOnDemand(s EndpointSnapshot, need float64) []EndpointCount {
	left := max(len(s.PerDataCentre)-1, 1)
	perSite := min(max(int(math.Ceil(need/float64(left))), s.Min, 1), s.Max)
	counts := make([]EndpointCount, len(s.PerDataCentre))
	for i, site := range s.PerDataCentre {
		counts[i] = EndpointCount{DataCentre: site.DataCentre, OnDemand: perSite}
	}
	return counts
}

// PeakDemand keeps the highest demand of a while, so that a wave's low does not give back
// what its next high needs.
type PeakDemand struct {
	held EngineDemand
	at   time.Time
}

// holdFade is the time in which a held demand falls by half.
const holdFade = 20 * time.Second

// Update takes in the demand now and returns the one to plan for.
func (h *PeakDemand) Update(now time.Time, d EngineDemand) EngineDemand {
	elapsed := now.Sub(h.at)
	if h.at.IsZero() || EnginesNeeded(d) >= EnginesNeeded(h.held) {
		h.held, h.at = d, now
		return d
	}
	h.held.RequestsPerSecond *= math.Exp2(-elapsed.Seconds() / holdFade.Seconds())
	h.at = now
	if EnginesNeeded(d) > EnginesNeeded(h.held) {
		h.held = d
	}
	return h.held
}
