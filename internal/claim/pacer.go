package claim

import (
	"math"
	"time"
)

// rateMemory is the time constant of the measured arrival rate.
const rateMemory = time.Second

// pacer decides how long a claim waits for others to share its write. A claim that
// expects no company within the longest wait goes at once.
type pacer struct {
	maxWait time.Duration
	// target is the group size from which a longer wait is not worth it.
	target int
	rate   float64
	last   time.Time
}

// arrived counts one claim.
func (p *pacer) arrived(now time.Time) {
	p.decay(now)
	p.rate += 1 / rateMemory.Seconds()
}

// decay brings the rate, in claims a second, up to date.
func (p *pacer) decay(now time.Time) {
	if p.last.IsZero() {
		p.last = now
		return
	}
	elapsed := max(0, now.Sub(p.last))
	p.rate *= math.Exp(-elapsed.Seconds() / rateMemory.Seconds())
	p.last = now
}

// wait returns how long the first claim of a group should wait.
func (p *pacer) wait() time.Duration {
	// The claim that is waiting is part of the rate, but no company to itself.
	others := p.rate - 1/rateMemory.Seconds()
	if others*p.maxWait.Seconds() < 1 {
		return 0
	}
	fill := time.Duration(float64(p.target) / others * float64(time.Second))
	return min(p.maxWait, fill)
}
