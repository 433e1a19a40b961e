package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/fleet"
)

// defaultLimits apply until a configuration is in force, and to limits that it does not set.
var defaultLimits = fleet.CallerLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

const (
	// headerSlackBytes is room in the read buffer beyond the largest header.
	headerSlackBytes = 1 << 10
	// relaySlackBytes is room for what a peer adds to a header.
	relaySlackBytes = 8 << 10
	// writeBufferBytes has room for one event or a small response.
	writeBufferBytes = 2 << 10
)

// conn is one caller's connection. It serves one request at a time.
type conn struct {
	server *Server
	net    net.Conn
	visit  *visit
	reader *bufio.Reader
	writer *bufio.Writer
	limits fleet.CallerLimits
	// entry is the connection's place among those of its server.
	entry *connlimit.Entry
	// beforeWait is called before the connection waits for bytes of a body; nil at other times.
	beforeWait func()

	mu sync.Mutex
	// busy is set from when the first byte of a request is seen to the end of its response.
	busy bool
	// closing is set once the next response is to be the last.
	closing bool
}

func newConn(s *Server, v *visit, entry *connlimit.Entry) *conn {
	limits := s.proxy.limits()
	accepted := v.Conn
	c := &conn{
		server: s,
		net:    accepted,
		visit:  v,
		writer: bufio.NewWriterSize(partWriter{accepted}, writeBufferBytes),
		limits: limits,
		entry:  entry,
	}
	c.reader = bufio.NewReaderSize(connReader{c}, s.readBufferBytes(limits))
	return c
}

// connReader reads from a connection.
type connReader struct{ *conn }

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	if r.beforeWait != nil {
		r.beforeWait()
	}
	return r.net.Read(p)
}

// serve serves one request after the other until the connection ends, and closes it.
func (c *conn) serve() {
	defer func() {
		if c.visit.turnedAway.Load() {
			c.server.turnAway(c.net, c.reader)
		}
		_ = c.net.Close()
		c.entry.Remove()
	}()
	for c.awaitRequest() {
		if !c.serveOne() {
			return
		}
		c.setBusy(false)
		c.entry.End(clock.Now())
	}
}

// awaitRequest waits for the first byte of a request. It returns false if none arrives within the
// idle timeout, or within lastRequestWait on a connection that is closing.
func (c *conn) awaitRequest() bool {
	c.limits = c.server.proxy.limits()
	c.setIdleDeadline()
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.setBusy(true)
	return true
}

// lastRequestWait is how long a stopping server still takes what has arrived but was not read: connections
// that wait to be accepted, and requests on idle connections. Those that it closed would be cut off without
// an answer.
const lastRequestWait = 50 * time.Millisecond

func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := c.limits.IdleTimeout
	if c.closing {
		wait = lastRequestWait
	}
	c.visit.setReadDeadline(time.Now().Add(wait))
}

// setBusy records whether a request is being served.
func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closeAfterLast makes the response to the request that is being served the last one. If none is being
// served, one that arrives within lastRequestWait is.
func (c *conn) closeAfterLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.busy {
		_ = c.net.SetReadDeadline(time.Now().Add(lastRequestWait))
	}
}

// serveOne reads and answers one request. It reports whether another may follow.
func (c *conn) serveOne() bool {
	x := &exchange{conn: c, proxy: c.server.proxy, arrived: clock.Now()}
	x.request = fasthttp.AcquireRequest()
	defer x.release()
	e := c.readHeader(x.request)
	if c.visit.turnedAway.Load() {
		return false
	}
	if e != nil {
		return x.refuseUnread(e)
	}
	if !c.entry.Begin() {
		return false
	}
	x.close = x.request.Header.ConnectionClose()
	serve := x.serve
	if c.server.relay {
		// Read before the body, so that the first host learns from each refusal that the request has not run.
		if err := x.takeRelayed(); err != nil {
			c.server.proxy.telemetry.RelayRejected(err)
			return false
		}
		serve = x.serveRelayed
	}
	if e := x.receiveBody(); e != nil {
		return x.refuseUnread(e)
	}
	ctx, cancel := context.WithCancel(c.server.requests)
	defer cancel()
	x.watch = c.watchCaller(cancel)
	serve(ctx)
	stillThere := x.watch.stop()
	return stillThere && !x.close && !x.broken
}

// readHeader reads the header of a request. It returns nil, or an error response whose status is zero if the connection broke
// and nothing can be sent.
func (c *conn) readHeader(req *fasthttp.Request) *errorResponse {
	c.visit.setReadDeadline(time.Now().Add(c.limits.HeaderTimeout))
	if err := req.Header.Read(c.reader); err != nil {
		return headerErrorResponse(err)
	}
	if hasAmbiguousLength(&req.Header) {
		return newErrorResponse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
	}
	return nil
}

// hasAmbiguousLength reports whether a request header mentions both Transfer-Encoding and
// Content-Length, which would allow request smuggling. Mentions in values count too.
func hasAmbiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	chunked := bytes.Contains(raw, []byte("transfer-encoding"))
	return chunked && bytes.Contains(raw, []byte("content-length"))
}

func headerErrorResponse(err error) *errorResponse {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return newErrorResponse(fasthttp.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newErrorResponse(fasthttp.StatusRequestTimeout, ReasonRequestTooSlow, 0)
	case isConnectionError(err):
		return &errorResponse{}
	}
	return newErrorResponse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
}
