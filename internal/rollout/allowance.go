package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/registry"
)

const (
	// boundMargin is the part of the bound on requests at the new version that hosts use together. The rest allows
	// for hosts that start again and for requests that were sent before a host had heard of the order.
	boundMargin = 0.7
	// pinnedMargin is the same for streams that began at the new version and go on only there.
	pinnedMargin = 0.9
	// minCanaries is the number of new endpoints that get requests at a time.
	minCanaries = 2
	// pulsesPerOrder is the number of pulses in an order, and minPulsePeriod and maxPulsePeriod bound the time
	// from one to the next.
	pulsesPerOrder = 5
	minPulsePeriod = time.Second
	maxPulsePeriod = 5 * time.Second
	// wantedResponses is the number of the new version's responses on a route below which its requests go there
	// outside of pulses too, with the probability scarceProbability.
	wantedResponses   = 10
	scarceProbability = 0.4
)

// Limits bound the requests that a bad version may get.
type Limits struct {
	// Share is a part of all requests to the fleet since the order, and Slack a number in addition, over all
	// hosts.
	Share float64
	Slack float64
}

// allowance is this host's part of the bound for one order.
type allowance struct {
	requests float64
	sentNew  float64
	// hosts is the largest number of hosts that was known; zero if this host has no part of the slack.
	hosts int
	// pulse is the number of the current pulse, and open is set until its allowance is used.
	pulse int64
	open  bool
}

// left returns how many requests this host may send to the new version now, if all hosts use a part of the bound.
func (a *allowance) left(l Limits, part float64) float64 {
	slack := 0.0
	if a.hosts > 0 {
		slack = l.Slack / float64(a.hosts)
	}
	return part*(l.Share*a.requests+slack) - a.sentNew
}

// period returns the time from one pulse to the next.
func (e *Entry) period() time.Duration {
	return min(max(e.Order.Duration/pulsesPerOrder, minPulsePeriod), maxPulsePeriod)
}

// pulseAt returns the number of the pulse at a cluster time.
func (e *Entry) pulseAt(clusterMillis int64) int64 {
	return (clusterMillis - e.Record.StartMillis) / max(e.period().Milliseconds(), 1)
}

// inPulse reports whether a pulse goes on: it ends when nothing is left.
func (a *allowance) inPulse(pulse int64, left float64) bool {
	if pulse != a.pulse {
		a.pulse, a.open = pulse, true
	}
	if left < 1 {
		a.open = false
	}
	return a.open
}

// canaries returns the new endpoints that get requests in a pulse. All hosts that know the same endpoints agree on
// them.
func canaries(target []registry.Endpoint, oldCount int, share float64, salt string) map[string]bool {
	wanted := max(minCanaries, int(math.Ceil(2*boundMargin*share*float64(oldCount))))
	order := slices.Clone(target)
	weight := func(e registry.Endpoint) uint64 { return xxhash.Sum64String(salt + "\x00" + e.ID) }
	slices.SortFunc(order, func(a, b registry.Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	out := map[string]bool{}
	for _, e := range order[:min(wanted, len(order))] {
		out[e.ID] = true
	}
	return out
}
