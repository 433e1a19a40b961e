package bodybudget

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/clock"
)

// roomWait bounds the wait for evicted bodies to release their memory. They do so as soon as their goroutines run.
const roomWait = 250 * time.Millisecond

// Errors of Acquire. After both the request has not run and never will.
var (
	// ErrNoRoom means that the bodies of other requests hold all memory.
	ErrNoRoom = errors.New("no memory for the request body")
	// ErrEvicted means that the body came so slowly that its memory, or its connection, was given to others.
	ErrEvicted = errors.New("request body given up for others")
)

// Acquire reserves bytes. It waits for evicted bodies if need be.
func (h *Holding) Acquire(bytes int64) error {
	var released <-chan struct{}
	var end time.Time
	for {
		now := clock.Now()
		switch h.Reserve(now, bytes) {
		case Granted:
			return nil
		case Evicted:
			return ErrEvicted
		case Refused:
			return ErrNoRoom
		}
		if released == nil {
			// Asked again before the wait: what was released in between is not announced.
			released = h.budget.nextRelease()
			if end.IsZero() {
				end = now.Add(roomWait)
			}
			continue
		}
		select {
		case <-released:
			released = nil
		case <-time.After(end.Sub(now)):
			return ErrNoRoom
		}
	}
}

// Await is Acquire that waits for room until ctx is done.
func (h *Holding) Await(ctx context.Context, bytes int64) error {
	for {
		// Before the question: what is released in between is announced.
		released := h.budget.nextRelease()
		err := h.Acquire(bytes)
		if !errors.Is(err, ErrNoRoom) {
			return err
		}
		select {
		case <-released:
		case <-ctx.Done():
			return err
		}
	}
}

// nextRelease returns a channel that is closed when a body next releases memory.
func (b *Budget) nextRelease() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}
