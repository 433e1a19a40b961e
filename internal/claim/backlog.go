package claim

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The wait between two rounds of the backlog.
const (
	minBacklogWait = 200 * time.Millisecond
	maxBacklogWait = 5 * time.Second
)

// backlog keeps reports that could not be recorded and sends them again until they are.
// It has no goroutine while it is empty.
type backlog struct {
	limit int
	// send tries one report and tells whether it is settled.
	send    func(Op) bool
	metrics *Metrics

	mu      sync.Mutex
	ops     []Op
	wait    time.Duration
	timer   *time.Timer
	running sync.WaitGroup
	closed  bool
	// empty is closed once no report is left; nil while nobody waits for that.
	empty chan struct{}
	// sending is the number of reports in the round under way.
	sending int
}

// add keeps a report, unless the backlog is full or closed.
func (b *backlog) add(op Op) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.ops) >= b.limit {
		b.metrics.Dropped.Add(1)
		return false
	}
	b.ops = append(b.ops, op)
	b.metrics.Backlog.Store(int64(len(b.ops)))
	b.schedule()
	return true
}

// schedule sets the timer of the next round if none is set.
func (b *backlog) schedule() {
	if b.timer != nil || b.closed || len(b.ops) == 0 {
		return
	}
	b.wait = max(b.wait, minBacklogWait)
	b.running.Add(1)
	b.timer = time.AfterFunc(b.wait, b.round)
}

// round sends every report once.
func (b *backlog) round() {
	defer b.running.Done()
	b.mu.Lock()
	ops := b.ops
	b.ops = nil
	b.sending = len(ops)
	b.mu.Unlock()

	left := b.sendAll(ops)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	b.sending = 0
	b.ops = append(left, b.ops...)
	b.signalEmpty()
	b.metrics.Backlog.Store(int64(len(b.ops)))
	b.wait = min(2*b.wait, maxBacklogWait)
	if len(left) == 0 {
		b.wait = minBacklogWait
	}
	b.schedule()
}

// sendAll sends the reports at the same time, so that they share writes, and returns
// those that are not settled.
func (b *backlog) sendAll(ops []Op) []Op {
	settled := make([]bool, len(ops))
	var group sync.WaitGroup
	for i, op := range ops {
		group.Go(func() { settled[i] = b.send(op) })
	}
	group.Wait()
	var left []Op
	for i, op := range ops {
		if !settled[i] {
			left = append(left, op)
		}
	}
	return left
}

// signalEmpty wakes those who wait for an empty backlog.
func (b *backlog) signalEmpty() {
	if b.empty == nil || len(b.ops) > 0 {
		return
	}
	close(b.empty)
	b.empty = nil
}

// flush waits until no report is left.
func (b *backlog) flush(ctx context.Context) error {
	b.mu.Lock()
	if len(b.ops)+b.sending == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.empty == nil {
		b.empty = make(chan struct{})
	}
	empty := b.empty
	b.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d reports not recorded: %w", b.size(), ctx.Err())
	}
}

// size returns the number of reports that are not settled.
func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ops) + b.sending
}

// close stops sending and waits for the round that is under way.
func (b *backlog) close() {
	b.mu.Lock()
	b.closed = true
	if b.timer != nil && b.timer.Stop() {
		b.running.Done()
	}
	b.mu.Unlock()
	b.running.Wait()
}
