// Package httpclient sends one HTTP request over a pooled fasthttp connection and
// tells exactly whether any byte of it was sent. It never sends a request twice.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNotSent is wrapped by failures in which no byte of the request was sent.
var ErrNotSent = errors.New("no byte of the request was sent")

// Defaults of a Client.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 5 * time.Second
	DefaultMaxConns    = 4096
	// MaxResponseBytes bounds a buffered response body.
	MaxResponseBytes = 64 << 20
)

// Options are the limits of a Client; zero fields take the defaults.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxConns is the number of connections to one address.
	MaxConns int
	// TCPUserTimeout bounds how long sent bytes may stay unacknowledged; zero leaves it to
	// the system.
	TCPUserTimeout time.Duration
}

// Target is where a request goes. Connections are shared by requests with the same target
// only, so that one made to an earlier owner of an address is not used for the next.
type Target struct {
	// Address is "ip:port".
	Address string
	// Instance tells apart processes that have the address one after the other.
	Instance string
}

// Client keeps a pool of connections for each address.
type Client struct {
	options Options
	mu      sync.RWMutex
	hosts   map[Target]*fasthttp.HostClient
}

// New returns a Client without connections.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	return &Client{options: o, hosts: map[Target]*fasthttp.HostClient{}}
}

// CloseIdle closes the connections that carry no request now.
func (c *Client) CloseIdle() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, h := range c.hosts {
		h.CloseIdleConnections()
	}
}

// Do sends a request and reads the whole response.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response) error {
	l, err := c.send(ctx, Target{Address: address}, req)
	if err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	err = resp.ReadLimitBody(l.reader, MaxResponseBytes)
	l.release(err == nil && !resp.ConnectionClose())
	if err != nil {
		return answerError(ctx, err)
	}
	return nil
}

// host returns the pool of a target and forgets the pools without connections
// when it adds one.
func (c *Client) host(target Target) *fasthttp.HostClient {
	c.mu.RLock()
	h := c.hosts[target]
	c.mu.RUnlock()
	if h != nil {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[target]; h != nil {
		return h
	}
	for a, old := range c.hosts {
		if old.ConnsCount() == 0 {
			delete(c.hosts, a)
		}
	}
	h = &fasthttp.HostClient{
		Addr:                target.Address,
		Dial:                c.dial,
		MaxConns:            c.options.MaxConns,
		MaxIdleConnDuration: c.options.IdleTimeout,
		ConnPoolStrategy:    fasthttp.LIFO,
	}
	c.hosts[target] = h
	return h
}

func (c *Client) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.options.DialTimeout, ControlContext: userTimeout(c.options.TCPUserTimeout)}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// lease is one connection in use by one request.
type lease struct {
	conn    *countingConn
	reader  reader
	release func(reuse bool)
	// written is set if the request is written beside the reading.
	written chan error
}

// send writes the request to a connection that its peer has not closed.
func (c *Client) send(ctx context.Context, target Target, req *fasthttp.Request) (*lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	h := c.host(target)
	l, err := acquire(ctx, h)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(req.Body()) > concurrentBody {
		l.writeBeside(h, req)
		return l, nil
	}
	if err := l.write(h, req); err != nil {
		l.release(false)
		return nil, l.sendError(ctx, err)
	}
	return l, nil
}

// acquire takes a usable connection; closed idle ones are thrown away.
func acquire(ctx context.Context, h *fasthttp.HostClient) (*lease, error) {
	for {
		pooled, err := h.AcquireConn(0, false)
		if err != nil {
			return nil, err
		}
		conn := pooled.Conn().(*countingConn)
		if conn.begin() != nil {
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
		l := &lease{conn: conn, reader: r}
		l.release = func(reuse bool) {
			reuse = stop() && reuse && r.Buffered() == 0
			// An expired deadline would make the unused connection look broken.
			reuse = reuse && conn.SetDeadline(time.Time{}) == nil
			h.ReleaseReader(r)
			if reuse {
				h.ReleaseConn(pooled)
			} else {
				h.CloseConn(pooled)
			}
		}
		return l, nil
	}
}

// concurrentBody is the size from which a body is written beside the reading of the
// answer, which may come before the peer has read the body.
const concurrentBody = 16 << 10

// writeBeside writes the request while the answer is waited for. The request must live
// until release returns.
func (l *lease) writeBeside(h *fasthttp.HostClient, req *fasthttp.Request) {
	l.written = make(chan error, 1)
	go func() { l.written <- l.write(h, req) }()
	release := l.release
	l.release = func(reuse bool) {
		select {
		case err := <-l.written:
			release(reuse && err == nil)
		default:
			// The peer answered without reading the whole body: what it reads next on
			// this connection would be the rest of it.
			_ = l.conn.Close()
			<-l.written
			release(false)
		}
	}
}

// sendError tells a request of which nothing was sent from one that may have arrived.
func (l *lease) sendError(ctx context.Context, err error) error {
	if l.conn.sent.Load() == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return answerError(ctx, err)
}

func (l *lease) write(h *fasthttp.HostClient, req *fasthttp.Request) error {
	w := h.AcquireWriter(l.conn)
	defer h.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// answerError names the context's end when that is what broke the connection.
func answerError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}
