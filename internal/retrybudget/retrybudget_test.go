package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// TestRetriesStayWithinLimitsOfAllHosts simulates a retry storm, in which each host retries as
// often as its budget allows. In no window may there be more retries than the limits allow, even if
// all hosts restart once.
func TestRetriesStayWithinLimitsOfAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		rate := rapid.IntRange(0, 20).Draw(t, "requests a tick")
		restart := rapid.IntRange(0, 400).Draw(t, "restart at")
		const tick = 100 * time.Millisecond
		budgets := newBudgets(hosts)
		var requests, retries []int
		for i := range 400 {
			now := time.Unix(1000, 0).Add(time.Duration(i) * tick)
			if i == restart {
				budgets = newBudgets(hosts)
			}
			requested, retried := 0, 0
			for _, b := range budgets {
				for range rate {
					b.RecordRequest(now, "f")
					requested++
				}
				for b.Allow(now, "f") {
					retried++
				}
			}
			requests, retries = append(requests, requested), append(retries, retried)
			checkWindow(t, requests, retries)
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

// checkWindow checks the window that ends now. The ratio applies to the requests of this window or
// of the preceding one, whichever are more.
func checkWindow(t *rapid.T, requests, retries []int) {
	const ticks = 100
	from := max(len(retries)-ticks, 0)
	allowed := limits.Ratio*float64(max(sum(requests[from:]), sum(requests[max(from-ticks, 0):from]))) + limits.Slack
	if got := sum(retries[from:]); float64(got) > allowed {
		t.Fatalf("%d retries, %v allowed", got, allowed)
	}
}

func sum(numbers []int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}
