package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// meanRefreshStep is the largest number of endpoints whose load each refresh but the first reads.
const meanRefreshStep = 8

// meanLoad is the mean number of requests over the available endpoints of a list. The first
// refresh reads the load of all endpoints, and each later one that of the next meanRefreshStep:
// the mean of a short list is up to date, and the cost of a choice does not grow with the length
// of the list.
type meanLoad struct {
	bits atomic.Uint64 // of a float64

	mu      sync.Mutex
	loads   []int32 // -1 for an endpoint that is not available
	sum     int64
	counted int
	cursor  int
}

// refresh updates and returns the mean. While another goroutine refreshes it, it returns the
// last value.
func (m *meanLoad) refresh(now time.Time, targets []*target) float64 {
	if !m.mu.TryLock() {
		return math.Float64frombits(m.bits.Load())
	}
	defer m.mu.Unlock()
	steps := min(meanRefreshStep, len(targets))
	if m.loads == nil {
		m.loads = make([]int32, len(targets))
		m.counted = len(targets)
		steps = len(targets)
	}
	for range steps {
		m.update(m.cursor, targets[m.cursor].countedLoad(now))
		m.cursor = (m.cursor + 1) % len(targets)
	}
	mean := float64(m.sum) / float64(max(m.counted, 1))
	m.bits.Store(math.Float64bits(mean))
	return mean
}

func (m *meanLoad) update(index int, load int32) {
	if m.loads[index] >= 0 {
		m.sum -= int64(m.loads[index])
		m.counted--
	}
	if load >= 0 {
		m.sum += int64(load)
		m.counted++
	}
	m.loads[index] = load
}

// countedLoad returns the load with which the endpoint enters the mean, -1 if it is not
// available.
func (t *target) countedLoad(now time.Time) int32 {
	if !t.available(now) {
		return -1
	}
	return t.state.knownRequests(now)
}
