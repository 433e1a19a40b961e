package balancer

import "time"

const (
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.2
	// baseFailureRate is what no endpoint is set aside for.
	baseFailureRate = 0.2
	// groupFailureFactor: an endpoint must fail so many times as often as its fleet.
	groupFailureFactor = 2
	// minFailures is the number of failures in a row of attempts before an endpoint is
	// set aside: one failure says little.
	minFailures = 2
	// firstAvoid and maxAvoid bound how long an endpoint is set aside; it doubles.
	firstAvoid = time.Second
	maxAvoid   = 8 * time.Second
	// maxAvoidedShare is the part of a fleet that may be set aside at once.
	maxAvoidedShare = 0.5
	// slowWeight is the weight of the newest answer in an endpoint's slowness.
	slowWeight = 0.25
	// maxSlowness bounds the factor by which an endpoint is believed slow.
	maxSlowness = 20
	// slowMemory is the time in which a belief of slowness loses half of its excess, so
	// that the endpoint is tried again.
	slowMemory = 3 * time.Second
)

// health is how an endpoint has answered of late.
type health struct {
	failureRate float64
	failures    int
	avoidFor    time.Duration
	avoidUntil  time.Time
	// setAside is set from being set aside to the next good answer.
	setAside bool
	slowness
}

// slowness is by how much longer than expected answers took of late.
type slowness struct {
	ratio float64
	at    time.Time
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.avoidUntil) }

func (h *health) succeed() {
	h.failureRate *= 1 - failureWeight
	h.failures = 0
	if h.failureRate < baseFailureRate/2 {
		h.avoidFor = 0
	}
}

// fail notes a failure and reports whether the endpoint should be set aside, given the
// failure rate of its fleet.
func (h *health) fail(groupRate float64) bool {
	h.failureRate += (1 - h.failureRate) * failureWeight
	h.failures++
	return h.failures >= minFailures && h.failureRate > baseFailureRate+groupFailureFactor*groupRate
}

// avoid sets the endpoint aside, each time for longer.
func (h *health) avoid(now time.Time) {
	h.setAside = true
	h.avoidFor = min(max(2*h.avoidFor, firstAvoid), maxAvoid)
	h.avoidUntil = now.Add(h.avoidFor)
}

// observe learns how much longer than expected an answer took.
func (s *slowness) observe(now time.Time, ratio float64) {
	current := s.factor(now)
	s.ratio = min(max(current+(ratio-current)*slowWeight, 1), maxSlowness)
	s.at = now
}

// factor is by how much answers are believed slow now; 1 is as expected.
func (s *slowness) factor(now time.Time) float64 {
	if s.ratio <= 1 {
		return 1
	}
	age := now.Sub(s.at)
	return 1 + (s.ratio-1)/(1+float64(age)/float64(slowMemory))
}
