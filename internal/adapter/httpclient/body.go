package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

type reader = *bufio.Reader

// drainTimeout is how long Finish waits for the end of a body.
const drainTimeout = 20 * time.Millisecond

// Body is a response whose body is read as it arrives. Read and Close may be called
// concurrently; Close makes a blocked Read return.
type Body struct {
	Response *fasthttp.Response
	ctx      context.Context
	exchange *exchange
	// stream is the content as it comes; nil for a response without a body.
	stream    io.Reader
	mu        sync.Mutex
	ended     bool
	closed    bool
	closeOnce sync.Once
}

// Framing is how a response marks the end of its body.
type Framing string

// The framings of a response body.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingClose means that the body ends with the connection.
	FramingClose Framing = "close"
)

// Framing returns how the response marks the end of its body.
func (b *Body) Framing() Framing { return FramingOf(&b.Response.Header) }

// FramingOf returns how the response with a header marks the end of its body.
func FramingOf(h *fasthttp.ResponseHeader) Framing {
	switch length := h.ContentLength(); {
	case length >= 0:
		return FramingLength
	case length == contentLengthChunked:
		return FramingChunked
	}
	return FramingClose
}

// contentLengthChunked is what fasthttp returns as the content length of a chunked body.
const contentLengthChunked = -1

// Open sends a request and returns once the response header has arrived.
func (c *Client) Open(ctx context.Context, address string, req *fasthttp.Request) (*Body, error) {
	return c.OpenTarget(ctx, Target{Address: address}, req, OpenOptions{})
}

// OpenOptions are the conditions of sending a request and of accepting its response. Zero fields set
// none.
type OpenOptions struct {
	// BeforeSend is called when there is a connection, immediately before the request is written. If it
	// returns an error, nothing is sent, and the error is returned together with ErrNotSent.
	BeforeSend func() error
	// Connected is called, before BeforeSend, with what is known of the connection.
	Connected func(ConnInfo)
	// Matches reports whether a response belongs to the request. Other responses, to earlier requests on
	// the connection, are discarded, at most maxMismatchedResponses of them.
	Matches func(*fasthttp.ResponseHeader) bool
}

// ConnInfo describes the connection that carries a request.
type ConnInfo struct {
	// Age is the time since the connection was opened.
	Age time.Duration
	// New is set if it carries its first request.
	New bool
}

// maxMismatchedResponses is how many responses to earlier requests are skipped on one
// connection. If one more follows, OpenTarget fails.
const maxMismatchedResponses = 2

// OpenTarget is Open for a Target and with options.
func (c *Client) OpenTarget(ctx context.Context, target Target, req *fasthttp.Request, o OpenOptions) (*Body, error) {
	x, err := c.send(ctx, target, req, o)
	if err != nil {
		return nil, err
	}
	for range maxMismatchedResponses + 1 {
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		resp.SkipBody = req.Header.IsHead()
		if err := readHead(x.reader, resp); err != nil {
			fasthttp.ReleaseResponse(resp)
			x.release(false)
			return nil, x.sendError(ctx, err)
		}
		b := &Body{Response: resp, ctx: ctx, exchange: x, stream: x.bodyOf(resp)}
		b.ended = b.stream == nil
		if o.Matches == nil || o.Matches(&resp.Header) {
			return b, nil
		}
		if err := b.discard(); err != nil {
			err = responseError(ctx, err)
			x.release(false)
			return nil, err
		}
	}
	x.release(false)
	return nil, ErrMismatchedResponse
}

// ErrMismatchedResponse means that the connection delivered more than
// maxMismatchedResponses responses to other requests.
var ErrMismatchedResponse = errors.New("answer to another request")

// errLongMismatch means that a response to another request is longer than MaxResponseBytes. What follows
// on the connection is part of it.
var errLongMismatch = errors.New("response to another request is too long to discard")

// discard reads and drops the body of a response to another request, of at most MaxResponseBytes.
func (b *Body) discard() error {
	defer fasthttp.ReleaseResponse(b.Response)
	if b.ended {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b.stream, MaxResponseBytes+1))
	_ = b.Response.CloseBodyStream()
	if err == nil && n > MaxResponseBytes {
		return errLongMismatch
	}
	return err
}

// SetIdleTimeout sets how long the peer keeps the idle connection open after this
// response. The connection is not used for new requests after that time.
func (b *Body) SetIdleTimeout(d time.Duration) {
	b.exchange.conn.idleUntil = time.Now().Add(d)
}

// Read returns the data that has arrived and blocks only if there is none.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, io.ErrClosedPipe
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	if err == io.EOF && b.Framing() == FramingClose {
		if failure := b.exchange.writeFailure(); failure != nil {
			err = failure
		}
	}
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		err = responseError(b.ctx, err)
	}
	return n, err
}

// ClosesAtEnd reports whether the peer closes the connection within a time after a body that has ended by its own
// framing. No byte that arrives instead is lost.
func (b *Body) ClosesAtEnd(within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.ended || b.exchange.conn.SetReadDeadline(time.Now().Add(within)) != nil {
		return false
	}
	_, err := b.exchange.reader.Peek(1)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// Finish releases a body that need not be read further. The connection is reused if the
// end of the body arrives within drainTimeout and maxDrainBytes and the response does not
// ask to close it, and is closed otherwise. Response must not be used after Finish.
func (b *Body) Finish() {
	b.closeOnce.Do(func() {
		_ = b.exchange.conn.SetReadDeadline(time.Now().Add(drainTimeout))
		b.mu.Lock()
		defer b.mu.Unlock()
		b.drain()
		b.releaseLocked()
	})
}

// maxDrainBytes bounds how much Finish reads to reach the end of a body.
const maxDrainBytes = 4 << 10

func (b *Body) drain() {
	var rest [512]byte
	for read := 0; !b.ended && read < maxDrainBytes; {
		n, err := b.stream.Read(rest[:])
		read += n
		b.ended = err == io.EOF
		if err != nil {
			return
		}
	}
}

// Close releases the body. The connection is reused if the body was read to its end and the
// response does not ask to close it, and is closed otherwise. Response must not be used
// after Close.
func (b *Body) Close() {
	b.closeOnce.Do(func() {
		_ = b.exchange.conn.SetReadDeadline(time.Unix(1, 0))
		b.mu.Lock()
		defer b.mu.Unlock()
		b.releaseLocked()
	})
}

// releaseLocked returns or closes the connection. b.mu must be held.
func (b *Body) releaseLocked() {
	reuse := b.ended && !b.Response.ConnectionClose()
	_ = b.Response.CloseBodyStream()
	fasthttp.ReleaseResponse(b.Response)
	b.closed = true
	b.exchange.release(reuse)
}
