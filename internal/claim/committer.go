package claim

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// reportGroupDelay is the longest time that a report waits for a claim whose write it can join,
// unless another group is still being written.
// Until the report is written, a retry of the call is answered as in progress.
const reportGroupDelay = time.Second

// pendingOp is an operation that waits for the next group.
type pendingOp struct {
	op Op
	// commitBy is when the operation has to be committed even without others.
	commitBy time.Time
	done     chan Result
}

// Committer collects the operations on one shard and commits them in groups. The next group is
// collected while the current one is being written.
type Committer struct {
	shard    *shardStore
	pool     pond.Pool
	breaker  *breaker
	settings Settings

	mu      sync.Mutex
	pacer   pacer
	pending []*pendingOp
	timer   *time.Timer
	running bool
	closed  bool
	active  sync.WaitGroup
}

func newCommitter(shard *shardStore, pool pond.Pool, b *breaker, settings Settings) *Committer {
	return &Committer{
		shard:    shard,
		pool:     pool,
		breaker:  b,
		settings: settings,
		pacer:    pacer{maxDelay: settings.MaxGroupDelay, targetGroupSize: settings.TargetGroupSize},
	}
}

// Do commits one operation together with others that are pending for the shard. If the context ends
// first, Do returns a refusal with MayBeStored set, because the operation may still be committed.
func (c *Committer) Do(ctx context.Context, op Op) Result {
	p := &pendingOp{op: op, done: make(chan Result, 1)}
	if refusal, ok := c.enqueue(p, time.Now()); !ok {
		return refusal
	}
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
		return refused(minBackoff, true)
	}
}

// enqueue adds an operation. If it has to be refused at once, enqueue returns the refusal and false.
func (c *Committer) enqueue(p *pendingOp, now time.Time) (Result, bool) {
	if wait := c.breaker.wait(now); wait > 0 {
		return refused(wait, false), false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.pending) >= c.settings.MaxQueued {
		return refused(minBackoff, false), false
	}
	p.commitBy = now.Add(c.groupDelay(p.op, now))
	c.pending = append(c.pending, p)
	c.schedule(now)
	return Result{}, true
}

// groupDelay returns how long an operation may wait for others, and counts a claim for the pacer.
func (c *Committer) groupDelay(op Op, now time.Time) time.Duration {
	if op.Kind != OpAcquire {
		return reportGroupDelay
	}
	c.pacer.recordArrival(now)
	return c.pacer.delay()
}

// schedule lets the next group start when the first of the pending operations has to be committed.
// It does nothing while a group is running, since runGroup calls it at the end.
func (c *Committer) schedule(now time.Time) {
	if c.running || len(c.pending) == 0 {
		return
	}
	commitBy := c.pending[0].commitBy
	for _, p := range c.pending[1:] {
		if p.commitBy.Before(commitBy) {
			commitBy = p.commitBy
		}
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if wait := commitBy.Sub(now); wait > 0 {
		c.timer = time.AfterFunc(wait, c.onTimer)
		return
	}
	c.startGroup()
}

// onTimer starts a group if none is running.
func (c *Committer) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || len(c.pending) == 0 {
		return
	}
	c.startGroup()
}

// startGroup submits the next group to the pool. If the pool does not accept it, all pending
// operations are refused.
func (c *Committer) startGroup() {
	c.running = true
	c.active.Add(1)
	if err := c.pool.Go(c.runGroup); err != nil {
		c.running = false
		c.active.Done()
		c.refusePending()
	}
}

// runGroup commits all pending operations.
func (c *Committer) runGroup() {
	defer c.active.Done()
	c.mu.Lock()
	group := c.pending
	c.pending = nil
	c.mu.Unlock()

	ops := make([]Op, len(group))
	for i, p := range group {
		ops[i] = p.op
	}
	results := c.shard.commit(ops)
	for i, p := range group {
		p.done <- results[i]
	}

	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	c.schedule(time.Now())
}

// close refuses all pending and future operations and waits for the current group.
func (c *Committer) close() {
	c.mu.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.refusePending()
	c.mu.Unlock()
	c.active.Wait()
}

func (c *Committer) refusePending() {
	for _, p := range c.pending {
		p.done <- refused(minBackoff, false)
	}
	c.pending = nil
}
