package httpexchange

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type reader = *bufio.Reader

// drainTime is how long Close waits for the end marker of a finished body.
const drainTime = 20 * time.Millisecond

// Body is a response whose body is read as it arrives. Read and Close may be called
// by different threads; Close ends a blocked Read.
type Body struct {
	Response *fasthttp.Response
	ctx      context.Context
	lease    *lease
	mu       sync.Mutex
	ended    bool
	closed   bool
	once     sync.Once
}

// Open sends a request and returns when the response's header has arrived.
func (c *Client) Open(ctx context.Context, address string, req *fasthttp.Request) (*Body, error) {
	l, err := c.send(ctx, address, req)
	if err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := resp.ReadLimitBody(l.reader, 0); err != nil {
		fasthttp.ReleaseResponse(resp)
		l.release(false)
		return nil, answerError(ctx, err)
	}
	b := &Body{Response: resp, ctx: ctx, lease: l}
	b.ended = resp.BodyStream() == nil
	return b, nil
}

// Read reads what has arrived and blocks only if nothing has.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.Response.BodyStream().Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		err = answerError(b.ctx, err)
	}
	return n, err
}

// Finish gives up a body of which nothing more is wanted; the connection is kept if
// the end of the body arrives shortly.
func (b *Body) Finish() {
	b.once.Do(func() {
		_ = b.lease.conn.SetReadDeadline(time.Now().Add(drainTime))
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.ended {
			var rest [64]byte
			n, err := b.Response.BodyStream().Read(rest[:])
			b.ended = n == 0 && err == io.EOF
		}
		b.free()
	})
}

// Close ends the connection unless the body has ended.
func (b *Body) Close() {
	b.once.Do(func() {
		_ = b.lease.conn.SetReadDeadline(time.Unix(1, 0))
		b.mu.Lock()
		defer b.mu.Unlock()
		b.free()
	})
}

func (b *Body) free() {
	reuse := b.ended && !b.Response.ConnectionClose()
	_ = b.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(b.Response)
	b.closed = true
	b.lease.release(reuse)
}
