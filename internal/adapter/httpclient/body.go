package httpclient

import (
	"bufio"
	"context"
	"errors"
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
	return c.OpenTarget(ctx, Target{Address: address}, req, nil)
}

// maxForeignAnswers is how many answers to earlier requests are passed over.
const maxForeignAnswers = 2

// OpenTarget is Open for a target. Answers that own does not accept belong to earlier requests
// on the connection and are passed over; a nil own accepts all.
func (c *Client) OpenTarget(ctx context.Context, target Target, req *fasthttp.Request, own func(*fasthttp.ResponseHeader) bool) (*Body, error) {
	l, err := c.send(ctx, target, req)
	if err != nil {
		return nil, err
	}
	for range maxForeignAnswers + 1 {
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		resp.SkipBody = req.Header.IsHead()
		if err := resp.ReadLimitBody(l.reader, 0); err != nil {
			fasthttp.ReleaseResponse(resp)
			l.release(false)
			return nil, l.sendError(ctx, err)
		}
		b := &Body{Response: resp, ctx: ctx, lease: l}
		b.ended = resp.BodyStream() == nil
		if own == nil || own(&resp.Header) {
			return b, nil
		}
		if err := b.passOver(); err != nil {
			l.release(false)
			return nil, answerError(ctx, err)
		}
	}
	l.release(false)
	return nil, ErrMismatchedResponse
}

// ErrMismatchedResponse means that the connection carried answers to other requests only.
var ErrMismatchedResponse = errors.New("answer to another request")

// passOver reads an answer that belongs to another request to its end.
func (b *Body) passOver() error {
	defer fasthttp.ReleaseResponse(b.Response)
	if b.ended {
		return nil
	}
	_, err := io.Copy(io.Discard, io.LimitReader(b.Response.BodyStream(), MaxResponseBytes))
	_ = b.Response.CloseBodyStream()
	return err
}

// SetIdleTimeout tells how long the peer keeps the connection unused after this answer.
func (b *Body) SetIdleTimeout(d time.Duration) {
	b.lease.conn.idleUntil = time.Now().Add(d)
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
		b.drain()
		b.free()
	})
}

// drainBytes is the most that is read of a body of which nothing more is wanted.
const drainBytes = 4 << 10

func (b *Body) drain() {
	var rest [512]byte
	for read := 0; !b.ended && read < drainBytes; {
		n, err := b.Response.BodyStream().Read(rest[:])
		read += n
		b.ended = err == io.EOF
		if err != nil {
			return
		}
	}
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
