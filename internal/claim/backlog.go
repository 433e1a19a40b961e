package claim

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The delays between two rounds of the backlog.
const (
	minBacklogRetryDelay = 200 * time.Millisecond
	maxBacklogRetryDelay = 5 * time.Second
)

// backlog queues the reports that could not be recorded and retries each until it is settled: it is
// recorded, or it is ignored because its attempt does not hold the claim. It runs no goroutine while
// it is empty.
type backlog struct {
	limit int
	// send tries to record one report and returns whether it is settled.
	send    func(Op) bool
	metrics *Metrics

	mu         sync.Mutex
	ops        []Op
	retryDelay time.Duration
	timer      *time.Timer
	running    sync.WaitGroup
	closed     bool
	// drained is closed once every report is settled; nil while nothing waits for that.
	drained chan struct{}
	// inFlight is the number of reports in the current round.
	inFlight int
}

// add queues a report and returns whether it did. A report is dropped if the backlog is full or
// closed.
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

// schedule starts the timer of the next round, unless a timer or a round is running or there is
// nothing to send.
func (b *backlog) schedule() {
	if b.timer != nil || b.closed || len(b.ops) == 0 {
		return
	}
	b.retryDelay = max(b.retryDelay, minBacklogRetryDelay)
	b.running.Add(1)
	b.timer = time.AfterFunc(b.retryDelay, b.sendRound)
}

// sendRound tries to record every queued report once.
func (b *backlog) sendRound() {
	defer b.running.Done()
	b.mu.Lock()
	ops := b.ops
	b.ops = nil
	b.inFlight = len(ops)
	b.mu.Unlock()

	unsettled := b.sendAll(ops)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	b.inFlight = 0
	b.ops = append(unsettled, b.ops...)
	b.signalDrained()
	b.metrics.Backlog.Store(int64(len(b.ops)))
	b.retryDelay = min(2*b.retryDelay, maxBacklogRetryDelay)
	if len(unsettled) == 0 {
		b.retryDelay = minBacklogRetryDelay
	}
	b.schedule()
}

// sendAll sends the reports concurrently, so that they share writes, and returns those that were
// not settled.
func (b *backlog) sendAll(ops []Op) []Op {
	settled := make([]bool, len(ops))
	var group sync.WaitGroup
	for i, op := range ops {
		group.Go(func() { settled[i] = b.send(op) })
	}
	group.Wait()
	var unsettled []Op
	for i, op := range ops {
		if !settled[i] {
			unsettled = append(unsettled, op)
		}
	}
	return unsettled
}

// signalDrained wakes the callers that wait for an empty backlog.
func (b *backlog) signalDrained() {
	if b.drained == nil || len(b.ops) > 0 {
		return
	}
	close(b.drained)
	b.drained = nil
}

// flush waits until every report is settled. It returns an error if the context ends first.
func (b *backlog) flush(ctx context.Context) error {
	b.mu.Lock()
	if len(b.ops)+b.inFlight == 0 {
		b.mu.Unlock()
		return nil
	}
	if b.drained == nil {
		b.drained = make(chan struct{})
	}
	drained := b.drained
	b.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%d reports not recorded: %w", b.size(), ctx.Err())
	}
}

// size returns the number of reports that are not settled.
func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ops) + b.inFlight
}

// close stops the retries and waits for the current round.
func (b *backlog) close() {
	b.mu.Lock()
	b.closed = true
	if b.timer != nil && b.timer.Stop() {
		b.running.Done()
	}
	b.mu.Unlock()
	b.running.Wait()
}
