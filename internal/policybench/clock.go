package policybench

import (
	"container/heap"
	"time"
)

// epoch is the start of each run in virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// clock runs events in the order of their virtual time.
type clock struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now.Add(d), order: c.count, run: run})
}

// every runs the function each time that d has passed, until the end of the run.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
