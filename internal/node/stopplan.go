package node

import (
	"time"

	"rattanchute/internal/proxy"
)

const (
	// drainDelay is how long new connections may still arrive after a stop was requested: the
	// load balancer checks once per second and removes a host after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for leaving gracefully.
	exitMargin = 700 * time.Millisecond
	// exitReserve is the part of exitMargin that is left for the process to end.
	exitReserve = 150 * time.Millisecond
)

// planStop returns how a host that is asked to stop at an instant uses its grace period. Until Late, at most half of
// the period, it takes all requests, as the load balancer still sends callers here. From then on it takes none that
// may last beyond End, when it ends what is in progress.
func planStop(began time.Time, grace time.Duration) proxy.Stop {
	work := max(grace-exitMargin, exitMargin)
	return proxy.Stop{Late: began.Add(min(drainDelay, work/2)), End: began.Add(work)}
}

// leaveTimeout returns how long a part of leaving may take, given the time that is left of the grace period.
func leaveTimeout(usual, left time.Duration) time.Duration {
	return max(0, min(usual, left-exitReserve))
}
