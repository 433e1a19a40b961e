package capacity

import (
	"math"
	"time"
)

const (
	// missShare is the share of requests that may exceed the target.
	missShare = 0.05
	// maxUtilisation bounds the use of an engine's prefill.
	maxUtilisation = 0.95
	// utilisationStep is the resolution of the search for the utilisation.
	utilisationStep = 0.01
)

// Throughput is the request rate that a host of the class serves within the target;
// zero if it cannot meet it at all.
func Throughput(c Class, d Demand, target Target) float64 {
	streams := streamsInTarget(c, target.TokenInterval)
	if streams <= 0 || c.PrefillTokensPerSecond <= 0 {
		return 0
	}
	prefill := d.PromptTokens / c.PrefillTokensPerSecond
	rate := slotRate(c, d, streams, prefill)
	if prefill > 0 {
		use := prefillUtilisation(prefill, d.PromptVariation, target.FirstToken)
		rate = min(rate, use/prefill)
	}
	return rate
}

// streamsInTarget is the largest batch whose token interval meets the target.
func streamsInTarget(c Class, target time.Duration) int {
	if c.TokenInterval > target {
		return 0
	}
	if c.TokenIntervalPerStream <= 0 {
		return c.Slots
	}
	return min(c.Slots, int((target-c.TokenInterval)/c.TokenIntervalPerStream))
}

// slotRate keeps a square root of the slots free, so that few requests wait for one.
func slotRate(c Class, d Demand, streams int, prefill float64) float64 {
	n := float64(streams)
	interval := c.TokenInterval + time.Duration(streams)*c.TokenIntervalPerStream
	hold := prefill + max(d.OutputTokens, 1)*interval.Seconds()
	return max(n-math.Sqrt(n), n/2) / hold
}

// prefillUtilisation is the highest utilisation of a single server with Poisson
// arrivals at which at most missShare of the requests wait longer than the target
// leaves, by the exponential tail of the waiting time.
func prefillUtilisation(service, variation float64, target time.Duration) float64 {
	slack := target.Seconds() - service
	if slack <= 0 {
		return 0
	}
	use := maxUtilisation
	for use > 0 {
		tail := use * math.Exp(-2*(1-use)*slack/(service*(1+variation)))
		if tail <= missShare {
			return use
		}
		use -= utilisationStep
	}
	return 0
}
