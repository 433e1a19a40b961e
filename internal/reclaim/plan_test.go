package reclaim

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testRates = Rates{
	TokenInterval:           40 * time.Millisecond,
	TransferTokensPerSecond: 10000,
	ParallelTransfers:       2,
	Margin:                  2 * time.Second,
}

func TestPlanPrefersTheCheapestStrategy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	steps := Plan(Snapshot{
		Now:      now,
		Deadline: now.Add(7 * time.Second),
		Streams: []Stream{
			{ID: 0, ContextTokens: 900, RemainingTokens: 10},
			{ID: 1, ContextTokens: 20000, RemainingTokens: 5000},
			{ID: 2, ContextTokens: 200000, RemainingTokens: 5000},
		},
		Targets: []Target{{Endpoint: "a", FreeSlots: 1}, {Endpoint: "b", FreeSlots: 3}},
		Rates:   testRates,
	})
	strategies := map[int]Strategy{}
	for _, s := range steps {
		strategies[s.Stream] = s.Strategy
	}
	is.Equal(strategies[0], Finish)
	is.Equal(strategies[1], Transfer)
	is.Equal(strategies[2], Recompute)
}

func TestPlanWithoutTimeRecomputesAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	steps := Plan(Snapshot{
		Now:      now,
		Deadline: now,
		Streams:  []Stream{{ID: 7, ContextTokens: 100, RemainingTokens: 100}},
		Rates:    testRates,
	})
	is.Equal(steps, []Step{{Stream: 7, Strategy: Recompute, Start: now}})
}

func TestTransfersEndAsLateAsPossible(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	latest := now.Add(58 * time.Second)
	steps := Plan(Snapshot{
		Now:      now,
		Deadline: now.Add(time.Minute),
		Streams: []Stream{
			{ID: 0, ContextTokens: 5000, RemainingTokens: 5000},
			{ID: 1, ContextTokens: 10000, RemainingTokens: 5000},
			{ID: 2, ContextTokens: 5000, RemainingTokens: 5000},
			{ID: 3, ContextTokens: 10000000, RemainingTokens: 5000},
		},
		Targets: []Target{{Endpoint: "a", FreeSlots: 9}},
		Rates:   testRates,
	})
	starts := map[int]time.Duration{}
	for _, s := range steps {
		starts[s.Stream] = latest.Sub(s.Start)
	}
	is.Equal(starts[0], time.Second)
	is.Equal(starts[1], 2*time.Second)
	is.Equal(starts[2], 2*time.Second) // after stream 0 in its lane
	is.Equal(starts[3], time.Second)   // recomputed, in the last second
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		free := map[string]int{}
		for _, target := range s.Targets {
			free[target.Endpoint] = target.FreeSlots
		}
		seen := map[int]bool{}
		for _, step := range Plan(s) {
			if seen[step.Stream] {
				t.Fatalf("stream %d planned twice", step.Stream)
			}
			seen[step.Stream] = true
			if step.Target == "" {
				continue
			}
			free[step.Target]--
			if free[step.Target] < 0 {
				t.Fatalf("endpoint %s gets more streams than it has free slots", step.Target)
			}
		}
		if len(seen) != len(s.Streams) {
			t.Fatalf("%d of %d streams planned", len(seen), len(s.Streams))
		}
	})
}

func drawSnapshot(t *rapid.T) Snapshot {
	now := time.Unix(1000, 0)
	s := Snapshot{
		Now:      now,
		Deadline: now.Add(time.Duration(rapid.IntRange(-5, 120).Draw(t, "notice")) * time.Second),
		Rates:    testRates,
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "streams") {
		s.Streams = append(s.Streams, Stream{
			ID:              i,
			Priority:        rapid.IntRange(0, 9).Draw(t, "priority"),
			ContextTokens:   rapid.IntRange(0, 100000).Draw(t, "held"),
			RemainingTokens: rapid.IntRange(0, 10000).Draw(t, "remaining"),
		})
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "survivors") {
		s.Targets = append(s.Targets, Target{
			Endpoint:  string(rune('a' + i)),
			FreeSlots: rapid.IntRange(0, 8).Draw(t, "free"),
		})
	}
	return s
}
