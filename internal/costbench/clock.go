package costbench

import (
	"container/heap"
	"time"
)

// epoch is the midnight at which the measured day starts in virtual time.
var epoch = time.Unix(1_699_920_000, 0)

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

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) at(t time.Time, run func()) {
	c.count++
	heap.Push(&c.events, event{t, c.count, run})
}

// every runs the function each time that d has passed, until the end of the simulation.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
