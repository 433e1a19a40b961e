package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxReported bounds the statements in a message: those that differ most from the usual.
	maxReported = 48
	// maxReportedAge is the age up to which statements are told.
	maxReportedAge = 3 * time.Second
	// minReported is the least logarithm of a slowness that is told.
	minReported = 0.1
	percent     = 100
)

// Report is what hosts tell each other about the slowness of endpoints.
type Report struct {
	Endpoints []Statement `json:"e,omitempty"`
}

// Statement is what an endpoint stated to a host, and what was learnt of it.
type Statement struct {
	Fleet    string `json:"f"`
	Endpoint string `json:"i"`
	// Percent is the momentary slowness, 100 for as usual, and AgeMillis how long ago it was stated.
	Percent   int   `json:"p"`
	AgeMillis int64 `json:"a"`
}

// Statement returns what to tell of an endpoint; false if nothing unusual was stated lately. Unless all is set, what
// hosts of other groups told is left out.
func (e *Estimate) Statement(now time.Time, fleet, endpoint string, all bool) (Statement, bool) {
	if e.unusualAt.IsZero() || now.Sub(e.unusualAt) > maxReportedAge || !e.fromGroup && !all {
		return Statement{}, false
	}
	percents := int(math.Round(percent * math.Exp(e.stated)))
	return Statement{fleet, endpoint, percents, now.Sub(e.statedAt).Milliseconds()}, true
}

// NewReport returns the report of some statements, the slowest first; nil if there are none.
func NewReport(statements []Statement) *Report {
	if len(statements) == 0 {
		return nil
	}
	slices.SortFunc(statements, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(b.Percent, a.Percent), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return &Report{Endpoints: statements[:min(len(statements), maxReported)]}
}

// Apply records a statement that another host reported; follower tells whether it follows this one. Old, future or
// senseless ones are ignored.
func (e *Estimate) Apply(now time.Time, s Statement, follower bool) {
	if s.AgeMillis < 0 || s.AgeMillis > maxReportedAge.Milliseconds() || s.Percent <= 0 {
		return
	}
	at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
	if !at.After(e.statedAt) {
		return
	}
	e.State(at, float64(s.Percent)/percent, nil)
	e.fromGroup = follower
}
