package dispatcher

import (
	"context"
	"sync"
)

// inflight counts the requests that are being served. It closes idle once there are none and new
// ones are refused.
type inflight struct {
	mu      sync.Mutex
	count   int
	closing bool
	idle    chan struct{}
}

func newInflight() *inflight { return &inflight{idle: make(chan struct{})} }

// enter counts a new request; it returns false if new requests are refused.
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

// stopAccepting makes enter refuse all further requests.
func (f *inflight) stopAccepting() {
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

// wait returns when, after stopAccepting, no request is left, or when ctx ends.
func (f *inflight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *inflight) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
