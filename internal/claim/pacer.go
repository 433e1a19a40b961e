package claim

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the measured arrival rate.
const rateTimeConstant = time.Second

// pacer decides how long a claim waits for others to share its write. It sets no delay if no other
// claim is expected within the maximum delay.
type pacer struct {
	maxDelay time.Duration
	// targetGroupSize is the group size beyond which a longer delay is not worthwhile.
	targetGroupSize int
	rate            float64
	updatedAt       time.Time
}

// recordArrival counts one claim.
func (p *pacer) recordArrival(now time.Time) {
	p.decay(now)
	p.rate += 1 / rateTimeConstant.Seconds()
}

// decay updates the rate, which is in claims per second, to the given time.
func (p *pacer) decay(now time.Time) {
	if p.updatedAt.IsZero() {
		p.updatedAt = now
		return
	}
	elapsed := max(0, now.Sub(p.updatedAt))
	p.rate *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	p.updatedAt = now
}

// delay returns how long the first claim of a group should wait.
func (p *pacer) delay() time.Duration {
	// The waiting claim is included in the rate but cannot share a write with itself.
	others := p.rate - 1/rateTimeConstant.Seconds()
	if others*p.maxDelay.Seconds() < 1 {
		return 0
	}
	fillTime := time.Duration(float64(p.targetGroupSize) / others * float64(time.Second))
	return min(p.maxDelay, fillTime)
}
