package callers

import (
	"context"
	"io"
	"net"
	"time"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
)

// responseRoom bounds the memory of the response to a call, within the budget for bodies.
type responseRoom struct {
	budget  *bodybudget.Budget
	holding *bodybudget.Holding
}

// Acquire implements engine.Room. The response is not given up for others: its call may have run.
func (r *responseRoom) Acquire(ctx context.Context, bytes int64) error {
	if r.holding == nil {
		r.holding = r.budget.Open(clock.Now(), func() {})
		r.holding.Complete()
	}
	return r.holding.Await(ctx, bytes)
}

// Return implements engine.Room.
func (r *responseRoom) Return(bytes int64) { r.holding.Return(bytes) }

// callBody is the body of a response to a call. A caller is disconnected if it does not take one part within the timeout.
type callBody struct {
	conn    net.Conn
	timeout time.Duration
	rest    []byte
	// held are the memory of the request's body and of the response's.
	held []*bodybudget.Holding
}

// partBytes is the most that is written under one deadline.
const partBytes = 64 << 10

// Read implements io.Reader.
func (b *callBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest[:min(len(b.rest), partBytes)])
	b.rest = b.rest[n:]
	return n, b.conn.SetWriteDeadline(time.Now().Add(b.timeout))
}

// Close is called once the response is written or the caller has disconnected.
func (b *callBody) Close() error {
	b.rest = nil
	for _, h := range b.held {
		h.Release()
	}
	return nil
}
