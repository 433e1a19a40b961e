package heartbeat

import (
	"sync"
	"time"

	"rattanchute/internal/balancer"
)

// keptSent is how many of its own reports a host remembers: some seconds' worth.
const keptSent = 32

// SentReport is what a host said in one of its reports.
type SentReport struct {
	At    time.Time
	Spent map[string]float64
	Loads []balancer.Load
}

// History is what a host said of late, so that it can tell its own part in what its lead
// says of all hosts. It may be used by several goroutines.
type History struct {
	mu   sync.Mutex
	sent map[uint64]SentReport
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{sent: map[uint64]SentReport{}} }

// Add notes a report; numbers rise.
func (h *History) Add(number uint64, s SentReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[number] = s
	delete(h.sent, number-keptSent)
}

// At returns what was said in a report; false if that is long ago.
func (h *History) At(number uint64) (SentReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.sent[number]
	return s, ok
}
