package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// readResponse reads a whole response, of at most a number of bytes. The room, which may be nil, keeps what the body takes if
// the error is nil.
func (x *exchange) readResponse(ctx context.Context, resp *fasthttp.Response, most int, room Room) error {
	// The framing is known only until a buffered body is read.
	resp.StreamBody = true
	defer func() { resp.StreamBody = false }()
	if err := readHead(x.reader, resp); err != nil {
		return err
	}
	stream := x.bodyOf(resp)
	if stream == nil {
		return nil
	}
	framing := FramingOf(&resp.Header)
	body, err := readWithin(ctx, stream, most, room)
	_ = resp.CloseBodyStream()
	if err == nil && framing == FramingClose {
		err = x.writeFailure()
	}
	if err != nil {
		returnRoom(room, body)
		return err
	}
	resp.SetBodyRaw(body)
	return nil
}

// bodyOf returns the reader of the body of a response whose head has been read; nil if it has none.
func (x *exchange) bodyOf(resp *fasthttp.Response) io.Reader {
	stream := resp.BodyStream()
	if stream != nil && FramingOf(&resp.Header) == FramingChunked {
		return newChunkedBody(x.reader, &resp.Header)
	}
	return stream
}

// exchange is a request together with the connection that carries it.
type exchange struct {
	conn    *countingConn
	reader  reader
	release func(reuse bool)
	// writeDone is closed once the request is written or failed with writeErr. It is nil unless
	// the request is written concurrently.
	writeDone chan struct{}
	writeErr  error
}

// send takes a connection to the target and writes the request to it, unless BeforeSend returns an error.
func (c *Client) send(ctx context.Context, target Target, req *fasthttp.Request, o OpenOptions) (*exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	h := c.pool(target)
	x, err := acquire(ctx, h)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if o.Connected != nil {
		o.Connected(ConnInfo{Age: time.Since(x.conn.openedAt), New: x.conn.requests == 1})
	}
	if err := checkBeforeSend(o.BeforeSend); err != nil {
		x.release(true)
		return nil, err
	}
	if len(req.Body()) > concurrentBodyBytes {
		x.writeConcurrently(h, req)
		return x, nil
	}
	if err := x.write(h, req); err != nil {
		x.release(false)
		return nil, x.sendError(ctx, err)
	}
	return x, nil
}

func checkBeforeSend(beforeSend func() error) error {
	if beforeSend == nil {
		return nil
	}
	if err := beforeSend(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil
}

// acquire takes a usable connection from the pool or dials a new one. Pooled connections
// that are no longer usable (see errStaleConn) are dropped.
func acquire(ctx context.Context, h *fasthttp.HostClient) (*exchange, error) {
	for {
		pooled, err := h.AcquireConn(0, false)
		if err != nil {
			return nil, err
		}
		conn := pooled.Conn().(*countingConn)
		if conn.beginRequest() != nil {
			h.CloseConn(pooled)
			continue
		}
		deadline, _ := ctx.Deadline()
		if err := conn.SetDeadline(deadline); err != nil {
			h.CloseConn(pooled)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		r := h.AcquireReader(conn)
		x := &exchange{conn: conn, reader: r}
		x.release = func(reuse bool) {
			reuse = stop() && reuse && r.Buffered() == 0
			// A deadline that expires on the idle connection would make it look broken.
			reuse = reuse && conn.SetDeadline(time.Time{}) == nil
			h.ReleaseReader(r)
			if reuse {
				h.ReleaseConn(pooled)
			} else {
				h.CloseConn(pooled)
			}
		}
		return x, nil
	}
}

// concurrentBodyBytes is the size above which a body is written concurrently with reading
// the response, because the peer may respond before it has read the whole body.
const concurrentBodyBytes = 16 << 10

// writeConcurrently writes the request in a goroutine, while the caller waits for the
// response. The request must not be released before x.release returns.
func (x *exchange) writeConcurrently(h *fasthttp.HostClient, req *fasthttp.Request) {
	x.writeDone = make(chan struct{})
	go func() {
		defer close(x.writeDone)
		x.writeErr = x.write(h, req)
	}()
	release := x.release
	x.release = func(reuse bool) {
		select {
		case <-x.writeDone:
			release(reuse && x.writeErr == nil)
		default:
			// The peer responded without reading the whole body. It would take the rest of
			// the body for the next request on this connection.
			_ = x.conn.Close()
			<-x.writeDone
			release(false)
		}
	}
}

// writeResultTimeout is how long writeFailure waits for the result of writing the request.
const writeResultTimeout = 20 * time.Millisecond

// writeFailure returns an error if writing the request has failed. A response that ends with its
// connection is whole only without one: the operating system reports a reset once, and if the goroutine
// that writes the request gets it, the reader sees an ordinary end. While that goroutine is still
// blocked, there was no reset, unless it has not been scheduled since: the state of the connection tells.
func (x *exchange) writeFailure() error {
	if x.writeDone == nil {
		return nil
	}
	select {
	case <-x.writeDone:
	case <-time.After(writeResultTimeout):
		if isReset(x.conn.Conn) {
			return fmt.Errorf("%w: reset while the request is written", io.ErrUnexpectedEOF)
		}
		return nil
	}
	if x.writeErr != nil {
		return fmt.Errorf("%w: writing the request: %w", io.ErrUnexpectedEOF, x.writeErr)
	}
	return nil
}

// sendError returns the error of a request that failed before its response. It wraps
// ErrNotSent if no byte of the request was sent. Otherwise the request may have arrived.
func (x *exchange) sendError(ctx context.Context, err error) error {
	if x.conn.sent.Load() == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return responseError(ctx, err)
}

func (x *exchange) write(h *fasthttp.HostClient, req *fasthttp.Request) error {
	w := h.AcquireWriter(x.conn)
	defer h.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// responseError adds the context's error to err if the context is done: the end of the context
// closes the connection and so causes err. Otherwise it adds context.DeadlineExceeded if err is a
// timeout of the connection, and returns any other err unchanged.
func responseError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}
