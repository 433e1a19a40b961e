package reclaim

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan plans for all streams of one entry host, with the remaining endpoints of a
// large fleet as targets.
func BenchmarkPlan(b *testing.B) {
	const streams, targets = 722, 1600
	now := time.Unix(1000, 0)
	s := Snapshot{Now: now, Deadline: now.Add(30 * time.Second), Rates: testRates}
	for i := range streams {
		s.Streams = append(s.Streams, Stream{ID: i, ContextTokens: 100 * (i%50 + 1), RemainingTokens: 5000})
	}
	for i := range targets {
		s.Targets = append(s.Targets, Target{Endpoint: fmt.Sprint(i), FreeSlots: i % 8})
	}
	b.ReportAllocs()
	for b.Loop() {
		Plan(s)
	}
}
