// Package retrybudget limits retries, so that they do not amplify the load on a fleet that fails.
// It does no I/O.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// usableRatioShare is the part of the allowed ratio that is used. The rest covers requests that
	// were counted here but never reached an endpoint.
	usableRatioShare = 0.75
	// usableSlackShare is the part of the allowed slack that the hosts share. The rest covers hosts
	// that restart, because they start with a new budget.
	usableSlackShare = 0.5
	// slotsPerWindow is the number of slots in which the requests of a window are counted.
	slotsPerWindow = 20
)

// Limits are the limits of each fleet's retries, for all entry hosts together.
type Limits struct {
	// Ratio is the number of retries allowed for each request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window in addition to the ratio.
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and retries of each fleet on this host, and decides whether a retry
// is within the limits. It is safe for concurrent use.
type Budget struct {
	limits Limits
	mu     sync.Mutex
	hosts  int
	fleets map[string]*window
}

// NewBudget returns an empty budget for a single entry host; see SetHosts.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, hosts: 1, fleets: map[string]*window{}}
}

// SetHosts sets the number of entry hosts that share the slack. A number below 1 counts as 1.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time, fleet string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, fleet).current().requests++
}

// Allow reports whether the budget permits a retry, and counts it if so.
func (b *Budget) Allow(now time.Time, fleet string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, fleet)
	requests, retries := w.sums()
	allowed := b.limits.Ratio*usableRatioShare*float64(requests) + b.limits.Slack*usableSlackShare/float64(b.hosts)
	if float64(retries+1) > allowed {
		return false
	}
	w.current().retries++
	return true
}

func (b *Budget) window(now time.Time, fleet string) *window {
	w := b.fleets[fleet]
	if w == nil {
		w = &window{}
		b.fleets[fleet] = w
	}
	w.advance(now, b.limits.Window/slotsPerWindow)
	return w
}

// window counts in slots of equal length. The newest slot has the index head and starts at
// headStart.
type window struct {
	slots     [slotsPerWindow]slotCounts
	head      int
	headStart time.Time
}

type slotCounts struct{ requests, retries int }

func (w *window) current() *slotCounts { return &w.slots[w.head] }

func (w *window) advance(now time.Time, slotLength time.Duration) {
	if w.headStart.IsZero() || slotLength <= 0 || now.Sub(w.headStart) > slotsPerWindow*slotLength {
		*w = window{headStart: now}
		return
	}
	for now.Sub(w.headStart) >= slotLength {
		w.head = (w.head + 1) % slotsPerWindow
		w.slots[w.head] = slotCounts{}
		w.headStart = w.headStart.Add(slotLength)
	}
}

func (w *window) sums() (requests, retries int) {
	for _, c := range w.slots {
		requests += c.requests
		retries += c.retries
	}
	return requests, retries
}
