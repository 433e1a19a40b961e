package claim

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

// reportWait is how long a report waits for a claim to share its write. Until then a
// retry hears that the call is in progress.
const reportWait = time.Second

// waiter is an operation that waits for a group.
type waiter struct {
	op Op
	// due is when the operation should not wait for company any longer.
	due  time.Time
	done chan Result
}

// Committer gathers the operations on one shard and commits them in groups. While one
// group is being written, the next one gathers.
type Committer struct {
	shard    *shardStore
	pool     pond.Pool
	breaker  *breaker
	settings Settings

	mu      sync.Mutex
	pacer   pacer
	waiting []*waiter
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
		pacer:    pacer{maxWait: settings.MaxGroupDelay, target: settings.TargetGroupSize},
	}
}

// Do commits one operation with whatever else waits for the shard. If the context ends
// first, the operation may still be committed.
func (c *Committer) Do(ctx context.Context, op Op) Result {
	w := &waiter{op: op, done: make(chan Result, 1)}
	if refusal, ok := c.enqueue(w, time.Now()); !ok {
		return refusal
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
		return refused(minBackoff, true)
	}
}

// enqueue adds a waiter unless the operation has to be refused at once.
func (c *Committer) enqueue(w *waiter, now time.Time) (Result, bool) {
	if wait := c.breaker.wait(now); wait > 0 {
		return refused(wait, false), false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.waiting) >= c.settings.MaxQueued {
		return refused(minBackoff, false), false
	}
	w.due = now.Add(c.waitFor(w.op, now))
	c.waiting = append(c.waiting, w)
	c.schedule(now)
	return Result{}, true
}

// waitFor returns how long an operation may wait for others.
func (c *Committer) waitFor(op Op, now time.Time) time.Duration {
	if op.Kind != OpAcquire {
		return reportWait
	}
	c.pacer.arrived(now)
	return c.pacer.wait()
}

// schedule starts the next group when the first of the waiting operations is due.
func (c *Committer) schedule(now time.Time) {
	if c.running || len(c.waiting) == 0 {
		return
	}
	due := c.waiting[0].due
	for _, w := range c.waiting[1:] {
		if w.due.Before(due) {
			due = w.due
		}
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if wait := due.Sub(now); wait > 0 {
		c.timer = time.AfterFunc(wait, c.fire)
		return
	}
	c.start()
}

// fire starts a group when its time has come.
func (c *Committer) fire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || len(c.waiting) == 0 {
		return
	}
	c.start()
}

// start hands the next group to the pool.
func (c *Committer) start() {
	c.running = true
	c.active.Add(1)
	if err := c.pool.Go(c.run); err != nil {
		c.running = false
		c.active.Done()
		c.refuseAll()
	}
}

// run commits everything that waits.
func (c *Committer) run() {
	defer c.active.Done()
	c.mu.Lock()
	group := c.waiting
	c.waiting = nil
	c.mu.Unlock()

	ops := make([]Op, len(group))
	for i, w := range group {
		ops[i] = w.op
	}
	results := c.shard.commit(ops)
	for i, w := range group {
		w.done <- results[i]
	}

	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	c.schedule(time.Now())
}

// close refuses what waits and everything to come, and waits for the group under way.
func (c *Committer) close() {
	c.mu.Lock()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.refuseAll()
	c.mu.Unlock()
	c.active.Wait()
}

func (c *Committer) refuseAll() {
	for _, w := range c.waiting {
		w.done <- refused(minBackoff, false)
	}
	c.waiting = nil
}
