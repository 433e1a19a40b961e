package capacity

import (
	"math"
	"time"
)

const (
	// maxMissShare is the share of requests that may miss the target.
	maxMissShare = 0.05
	// maxUtilisation is the upper limit of the utilisation of an engine's prefill.
	maxUtilisation = 0.95
	// utilisationStep is the step size of the search for the utilisation.
	utilisationStep = 0.01
)

// Throughput returns the request rate that a host of the class serves within the target, zero
// if it cannot meet the target at all.
func Throughput(c Class, d Demand, target Target) float64 {
	streams := streamsInTarget(c, target.TokenInterval)
	if streams <= 0 || c.PrefillTokensPerSecond <= 0 {
		return 0
	}
	prefill := d.PromptTokens / c.PrefillTokensPerSecond
	rate := slotRate(c, d, streams, prefill)
	if prefill > 0 {
		utilisation := prefillUtilisation(prefill, d.PromptVariation, target.FirstToken)
		rate = min(rate, utilisation/prefill)
	}
	return rate
}

// streamsInTarget returns the largest batch size whose token interval meets the target, at most
// the number of slots and zero if there is none.
func streamsInTarget(c Class, target time.Duration) int {
	if c.TokenInterval > target {
		return 0
	}
	if c.TokenIntervalPerStream <= 0 {
		return c.Slots
	}
	return min(c.Slots, int((target-c.TokenInterval)/c.TokenIntervalPerStream))
}

// slotRate returns the request rate that the slots sustain with the square root of their number,
// but at most half of them, kept free, so that few requests wait for a slot. prefill is in seconds.
func slotRate(c Class, d Demand, streams int, prefill float64) float64 {
	n := float64(streams)
	interval := c.TokenInterval + time.Duration(streams)*c.TokenIntervalPerStream
	slotTime := prefill + max(d.OutputTokens, 1)*interval.Seconds()
	return max(n-math.Sqrt(n), n/2) / slotTime
}

// prefillUtilisation returns the highest utilisation of a single server with Poisson arrivals
// at which at most maxMissShare of the requests wait longer than the target allows. It uses the
// exponential approximation of the tail of the waiting time. The search goes down from
// maxUtilisation in steps of utilisationStep; the result is zero if none is low enough.
func prefillUtilisation(service, variation float64, target time.Duration) float64 {
	slack := target.Seconds() - service
	if slack <= 0 {
		return 0
	}
	utilisation := maxUtilisation
	for utilisation > 0 {
		tail := utilisation * math.Exp(-2*(1-utilisation)*slack/(service*(1+variation)))
		if tail <= maxMissShare {
			return utilisation
		}
		utilisation -= utilisationStep
	}
	return 0
}
