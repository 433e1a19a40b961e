package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/clock"
)

// TestStopPlanLeavesTimeToExit: the work ends before the grace period, and late begins in its first half.
func TestStopPlanLeavesTimeToExit(t *testing.T) {
	is := is.New(t)
	began := clock.Now()
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		plan := planStop(began, grace)
		is.True(plan.Late.Sub(began) <= drainDelay)
		is.True(plan.Late.Sub(began) <= grace/2)
		is.Equal(plan.End, began.Add(grace-exitMargin))
	}
	is.True(!planStop(began, 0).End.Before(began)) // without a grace period too
}

// TestLeavingEndsBeforeTheGracePeriod: what is left of it bounds each part, also if nothing is left.
func TestLeavingEndsBeforeTheGracePeriod(t *testing.T) {
	is := is.New(t)
	is.Equal(leaveTimeout(300*time.Millisecond, time.Second), 300*time.Millisecond)
	is.Equal(leaveTimeout(300*time.Millisecond, 250*time.Millisecond), 250*time.Millisecond-exitReserve)
	is.Equal(leaveTimeout(300*time.Millisecond, -time.Second), time.Duration(0))
}
