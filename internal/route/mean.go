package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// meanStep is how many endpoints each choice adds up anew.
const meanStep = 8

// meanLoad is the mean number of requests over a list's available endpoints. Each choice
// brings the next few of them up to date, so that a short list is exact and a long one
// costs no more.
type meanLoad struct {
	bits atomic.Uint64 // of a float64

	mu     sync.Mutex
	loads  []int32 // -1 for an endpoint that is not available
	sum    int64
	known  int
	cursor int
}

// refresh returns the mean. While another goroutine refreshes it, the last one is used.
func (m *meanLoad) refresh(now time.Time, targets []*target) float64 {
	if !m.mu.TryLock() {
		return math.Float64frombits(m.bits.Load())
	}
	defer m.mu.Unlock()
	steps := min(meanStep, len(targets))
	if m.loads == nil {
		m.loads = make([]int32, len(targets))
		m.known = len(targets)
		steps = len(targets)
	}
	for range steps {
		m.update(m.cursor, targets[m.cursor].countedLoad(now))
		m.cursor = (m.cursor + 1) % len(targets)
	}
	mean := float64(m.sum) / float64(max(m.known, 1))
	m.bits.Store(math.Float64bits(mean))
	return mean
}

func (m *meanLoad) update(index int, load int32) {
	if m.loads[index] >= 0 {
		m.sum -= int64(m.loads[index])
		m.known--
	}
	if load >= 0 {
		m.sum += int64(load)
		m.known++
	}
	m.loads[index] = load
}

// countedLoad is the endpoint's load in the mean, -1 if it is not available.
func (t *target) countedLoad(now time.Time) int32 {
	if !t.available(now) {
		return -1
	}
	return t.state.lastRequests(now)
}
