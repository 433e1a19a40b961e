package heartbeat

import (
	"sync"
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/fairshare"
)

// keptReports is the difference between the number of a new report and that of the report that is
// dropped for it. It corresponds to several seconds. Numbers also count digests, so that a leader,
// which sends both, remembers fewer reports.
const keptReports = 32

// SentReport is the part of a sent report that History remembers.
type SentReport struct {
	At    time.Time
	Spent map[string]float64
	Loads []balancer.Load
	// Shares is the demand of organisations that was reported; nil if none was.
	Shares *fairshare.Report
}

// History holds the reports that this host sent recently, by number. The leader's digests refer to
// these numbers: with the report that a number stands for, the host can subtract its own contribution
// from the totals in a digest, and determine as of when the digest confirms the configuration and the
// endpoints. It is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	sent map[uint64]SentReport
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{sent: map[uint64]SentReport{}} }

// Add records a report and drops those whose number is lower by keptReports or more. Report numbers must
// increase.
func (h *History) Add(number uint64, s SentReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[number] = s
	for old := range h.sent {
		if old+keptReports <= number {
			delete(h.sent, old)
		}
	}
}

// At returns the report with a given number, or false if it is not kept.
func (h *History) At(number uint64) (SentReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.sent[number]
	return s, ok
}
