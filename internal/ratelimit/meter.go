package ratelimit

import (
	"math"
	"time"
)

// meter measures the rate of events with exponential decay. All calls must pass the same window.
type meter struct {
	count     float64
	updatedAt time.Time
}

// add counts one event.
func (m *meter) add(now time.Time, window time.Duration) {
	m.decay(now, window)
	m.count++
}

// rate returns the events per second.
func (m *meter) rate(now time.Time, window time.Duration) float64 {
	m.decay(now, window)
	return m.count / window.Seconds()
}

func (m *meter) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.count *= math.Exp(-elapsed.Seconds() / window.Seconds())
		m.updatedAt = now
	}
}
