package balancer

import "time"

const (
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.2
	// toleratedFailureRate is the failure rate up to which failed requests do not lead to an
	// ejection, even if no other endpoint of the pool fails.
	toleratedFailureRate = 0.2
	// poolFailureFactor scales the pool's failure rate: an endpoint is ejected for failed requests
	// only if its own rate exceeds toleratedFailureRate plus the scaled rate of its pool.
	poolFailureFactor = 2
	// minConsecutiveFailures is the number of consecutive failures that an ejection for failed
	// requests requires, because a single failure is weak evidence.
	minConsecutiveFailures = 2
	// baseEjectionTime and maxEjectionTime bound how long an endpoint is ejected. The time
	// doubles with each ejection; successes reset it once the failure rate is below half of
	// toleratedFailureRate.
	baseEjectionTime = time.Second
	maxEjectionTime  = 8 * time.Second
	// maxEjectedShare is the largest share of a pool that may be ejected at once because of
	// failed requests. Endpoints that are unreachable or whose address was reused are ejected
	// regardless of it.
	maxEjectedShare = 0.5
	// slownessWeight is the weight of the newest answer in the slowness of an endpoint or fleet.
	slownessWeight = 0.25
	// maxSlowness is the upper limit of the slowness factor.
	maxSlowness = 20
	// slownessHalfLife is the time after an observation at which the excess of the slowness
	// factor over 1 has fallen to half, so that a slow endpoint is tried again. The decay is
	// hyperbolic: after twice this time, a third is left.
	slownessHalfLife = 3 * time.Second
)

// health is the recent failure history of an endpoint.
type health struct {
	failureRate         float64
	consecutiveFailures int
	ejectionTime        time.Duration
	ejectedUntil        time.Time
	// awaitingRecovery is set from an ejection until the next successful answer.
	awaitingRecovery bool
	slowness
}

// slowness is a moving average of the ratio of measured to expected answer times. ratio is between
// 1 and maxSlowness, or zero before the first observation. The factor falls towards 1 with time.
type slowness struct {
	ratio float64
	at    time.Time
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) recordSuccess() {
	h.failureRate *= 1 - failureWeight
	h.consecutiveFailures = 0
	if h.failureRate < toleratedFailureRate/2 {
		h.ejectionTime = 0
	}
}

// recordFailure records a failure and reports whether the endpoint should be ejected, given the
// failure rate of its pool.
func (h *health) recordFailure(poolRate float64) bool {
	h.failureRate += (1 - h.failureRate) * failureWeight
	h.consecutiveFailures++
	return h.consecutiveFailures >= minConsecutiveFailures &&
		h.failureRate > toleratedFailureRate+poolFailureFactor*poolRate
}

// eject ejects the endpoint, each time for twice as long, up to maxEjectionTime.
func (h *health) eject(now time.Time) {
	h.awaitingRecovery = true
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// ForgetFailures ends the ejections of a fleet's endpoints and forgets their failures, which were those of this
// host's links.
func (t *Table) ForgetFailures(fleetName string) {
	p := t.pool(fleetName)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failureRate = 0
	for _, e := range p.ordered {
		slow := e.slowness
		e.health = health{slowness: slow}
	}
}

// observe records the ratio of a measured to an expected answer time.
func (s *slowness) observe(now time.Time, ratio float64) {
	current := s.factor(now)
	s.ratio = min(max(current+(ratio-current)*slownessWeight, 1), maxSlowness)
	s.at = now
}

// factor returns the factor by which answers are expected to take longer now; it is never below
// 1.
func (s *slowness) factor(now time.Time) float64 {
	if s.ratio <= 1 {
		return 1
	}
	age := now.Sub(s.at)
	return 1 + (s.ratio-1)/(1+float64(age)/float64(slownessHalfLife))
}
