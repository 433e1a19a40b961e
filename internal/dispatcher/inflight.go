package dispatcher

import (
	"context"
	"sync"
)

// inflight counts the requests that are being served and closes idle once none is left
// and none is taken any more.
type inflight struct {
	mu      sync.Mutex
	count   int
	closing bool
	idle    chan struct{}
}

func newInflight() *inflight { return &inflight{idle: make(chan struct{})} }

// enter counts a request in; false once no more are taken.
func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return false
	}
	f.count++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closing && f.count == 0 {
		close(f.idle)
	}
}

// refuse takes no more requests from now on.
func (f *inflight) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		return
	}
	f.closing = true
	if f.count == 0 {
		close(f.idle)
	}
}

// wait waits until none is left after refuse, or ctx ends.
func (f *inflight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *inflight) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
