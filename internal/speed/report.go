package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxReported bounds the statements in a message: those that differ most from the usual.
	MaxReported = 48
	// maxReportedAge is the age up to which statements are told.
	maxReportedAge = 3 * time.Second
	// maxTransit is how much newer than it is a statement may look that has come through other hosts.
	maxTransit = 250 * time.Millisecond
	// minReported is the least logarithm of a slowness that is told.
	minReported = 0.1
	percent     = 100
)

// Report is what hosts tell each other about the slowness of endpoints.
type Report struct {
	Endpoints []Statement `json:"e,omitempty"`
}

// Statement is what an endpoint stated to a host.
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
	e.told = percents
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
	return &Report{Endpoints: statements[:min(len(statements), MaxReported)]}
}

// Apply records a statement that another host reported, and reports whether it did; follower tells whether that host
// follows this one. Old, future or senseless ones are ignored, and what this host has told others itself: on its way a
// statement seems to become newer, so that one that comes back could replace one that the endpoint has made since.
func (e *Estimate) Apply(now time.Time, s Statement, follower bool) bool {
	if s.AgeMillis < 0 || s.AgeMillis > maxReportedAge.Milliseconds() || s.Percent <= 0 {
		return false
	}
	at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
	if !at.After(e.statedAt) || e.direct && s.Percent == e.told && at.Sub(e.statedAt) < maxTransit {
		return false
	}
	e.State(at, float64(s.Percent)/percent, nil)
	e.fromGroup, e.direct = follower, false
	return true
}
