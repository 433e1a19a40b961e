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
	"rattanchute/internal/fleet"
)

// defaultLimits hold until a configuration is in force.
var defaultLimits = fleet.CallerLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   4 << 20,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

const (
	// headerSlack is room in the read buffer beyond the largest header.
	headerSlack = 1 << 10
	// bodyTimeout is the longest that a body may take to arrive.
	bodyTimeout = 20 * time.Second
	// writeTimeout is the longest that one write to a caller may block.
	writeTimeout = 10 * time.Second
	// writeBuffer holds an event or a small answer.
	writeBuffer = 2 << 10
)

// conn is one caller's connection; one request is served at a time.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	limits fleet.CallerLimits

	mu sync.Mutex
	// busy is set from a request's first byte to the end of its answer.
	busy bool
	// closing connections take no further request.
	closing bool
}

func newConn(s *Server, accepted net.Conn) *conn {
	limits := s.proxy.limits()
	return &conn{
		server: s,
		net:    accepted,
		reader: bufio.NewReaderSize(accepted, limits.MaxHeaderBytes+headerSlack),
		writer: bufio.NewWriterSize(accepted, writeBuffer),
		limits: limits,
	}
}

// serve answers requests until the connection ends.
func (c *conn) serve() {
	defer func() { _ = c.net.Close() }()
	for c.awaitRequest() {
		if !c.serveOne() {
			return
		}
		c.setBusy(false)
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	c.limits = c.server.proxy.limits()
	_ = c.net.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	return c.setBusy(true)
}

// setBusy reports whether the connection may go on.
func (c *conn) setBusy(busy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	return !c.closing
}

// closeIfIdle ends a connection that carries no request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.busy {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// serveOne reads and answers a request; it reports whether another may follow.
func (c *conn) serveOne() bool {
	x := &exchange{conn: c, proxy: c.server.proxy, arrived: clock.Now()}
	x.request = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(x.request)
	if v := c.readRequest(x.request); v != nil {
		if v.status == 0 {
			return false
		}
		x.close = true
		x.answer(v)
		return false
	}
	x.close = x.request.Header.ConnectionClose() || c.server.isStopping()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := c.watchCaller(cancel)
	x.serve(ctx)
	stillThere := watch.stop()
	return stillThere && !x.close && !x.broken
}

// readRequest reads a request whole. The verdict of a connection that broke has no status.
func (c *conn) readRequest(req *fasthttp.Request) *verdict {
	_ = c.net.SetReadDeadline(time.Now().Add(c.limits.HeaderTimeout))
	if err := req.Header.Read(c.reader); err != nil {
		return headerVerdict(err)
	}
	if ambiguousLength(&req.Header) {
		return refuse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
	}
	if req.MayContinue() {
		if _, err := c.net.Write(continueLine); err != nil {
			return &verdict{}
		}
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	err := req.ContinueReadBody(c.reader, c.limits.MaxBodyBytes, false)
	if err != nil {
		return bodyVerdict(err)
	}
	return nil
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// ambiguousLength finds requests with two ways to tell their length, by which one request
// could be hidden in another.
func ambiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	chunked := bytes.Contains(raw, []byte("transfer-encoding"))
	return chunked && bytes.Contains(raw, []byte("content-length"))
}

func headerVerdict(err error) *verdict {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		return refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(fasthttp.StatusRequestTimeout, ReasonRequestTooSlow, 0)
	case connectionError(err):
		return &verdict{}
	}
	return refuse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
}

func bodyVerdict(err error) *verdict {
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refuse(fasthttp.StatusRequestEntityTooLarge, ReasonBodyTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(fasthttp.StatusRequestTimeout, ReasonRequestTooSlow, 0)
	case connectionError(err):
		return &verdict{}
	}
	return refuse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
}
