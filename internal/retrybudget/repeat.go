// Package retrybudget bounds how often requests are sent a second time, so that a fault of a
// fleet is not answered by more load on it. It does no I/O.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// ratioShare of the allowed ratio is used: the rest covers requests that were counted
	// here and never reached an endpoint.
	ratioShare = 0.75
	// slackShare of the allowed slack is shared by the hosts: one that restarts begins anew.
	slackShare = 0.5
	// slots is the number of parts that a window is counted in.
	slots = 20
)

// Limits are those of all entry hosts together.
type Limits struct {
	// Ratio is the number of repeats for each request of a window.
	Ratio float64
	// Slack is the number of repeats besides.
	Slack  float64
	Window time.Duration
}

// Budget counts requests and repeats by fleet. It may be used by several goroutines.
type Budget struct {
	limits Limits
	mu     sync.Mutex
	hosts  int
	fleets map[string]*window
}

// NewBudget returns a budget for one of the given number of hosts.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, hosts: 1, fleets: map[string]*window{}}
}

// SetHosts tells how many hosts share the slack.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
}

// RecordRequest counts a first sending.
func (b *Budget) RecordRequest(now time.Time, fleet string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, fleet).current().requests++
}

// Allow takes a repeat from the budget, if there is one left.
func (b *Budget) Allow(now time.Time, fleet string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, fleet)
	requests, repeats := w.sums()
	allowed := b.limits.Ratio*ratioShare*float64(requests) + b.limits.Slack*slackShare/float64(b.hosts)
	if float64(repeats+1) > allowed {
		return false
	}
	w.current().repeats++
	return true
}

func (b *Budget) window(now time.Time, fleet string) *window {
	w := b.fleets[fleet]
	if w == nil {
		w = &window{}
		b.fleets[fleet] = w
	}
	w.advance(now, b.limits.Window/slots)
	return w
}

// window counts in slots of equal length, the newest at index head.
type window struct {
	counts  [slots]count
	head    int
	startAt time.Time
}

type count struct{ requests, repeats int }

func (w *window) current() *count { return &w.counts[w.head] }

func (w *window) advance(now time.Time, length time.Duration) {
	if w.startAt.IsZero() || length <= 0 || now.Sub(w.startAt) > slots*length {
		*w = window{startAt: now}
		return
	}
	for now.Sub(w.startAt) >= length {
		w.head = (w.head + 1) % slots
		w.counts[w.head] = count{}
		w.startAt = w.startAt.Add(length)
	}
}

func (w *window) sums() (requests, repeats int) {
	for _, c := range w.counts {
		requests += c.requests
		repeats += c.repeats
	}
	return requests, repeats
}
