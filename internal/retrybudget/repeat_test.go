package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// TestRepeatsStayWithinTheLimitOfAllHosts plays a storm: each host repeats whatever it may.
// In no window are there more repeats than the limits allow, also if hosts restart once.
func TestRepeatsStayWithinTheLimitOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		rate := rapid.IntRange(0, 20).Draw(t, "requests a tick")
		restart := rapid.IntRange(0, 400).Draw(t, "restart at")
		const tick = 100 * time.Millisecond
		budgets := newBudgets(hosts)
		var requests, repeats []int
		for i := range 400 {
			now := time.Unix(1000, 0).Add(time.Duration(i) * tick)
			if i == restart {
				budgets = newBudgets(hosts)
			}
			asked, again := 0, 0
			for _, b := range budgets {
				for range rate {
					b.RecordRequest(now, "f")
					asked++
				}
				for b.Allow(now, "f") {
					again++
				}
			}
			requests, repeats = append(requests, asked), append(repeats, again)
			checkWindow(t, requests, repeats)
		}
	})
}

func newBudgets(hosts int) []*Budget {
	var out []*Budget
	for range hosts {
		b := NewBudget(limits)
		b.SetHosts(hosts)
		out = append(out, b)
	}
	return out
}

// checkWindow looks at the window that ends now; a window's requests may also be those of the
// one before it.
func checkWindow(t *rapid.T, requests, repeats []int) {
	const ticks = 100
	from := max(len(repeats)-ticks, 0)
	allowed := limits.Ratio*float64(max(sum(requests[from:]), sum(requests[max(from-ticks, 0):from]))) + limits.Slack
	if got := sum(repeats[from:]); float64(got) > allowed {
		t.Fatalf("%d repeats, %v allowed", got, allowed)
	}
}

func sum(numbers []int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
