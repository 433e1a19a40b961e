// Package httpexchange sends one HTTP request over a pooled fasthttp connection and
// tells exactly whether any byte of it was sent. It never sends a request twice.
package httpexchange

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
	// MaxAnswerBytes bounds a buffered response body.
	MaxAnswerBytes = 64 << 20
)

// Options are the limits of a Client; zero fields take the defaults.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxConns is the number of connections to one address.
	MaxConns int
}

// Client keeps a pool of connections for each address.
type Client struct {
	options Options
	mu      sync.RWMutex
	hosts   map[string]*fasthttp.HostClient
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
	return &Client{options: o, hosts: map[string]*fasthttp.HostClient{}}
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
	l, err := c.send(ctx, address, req)
	if err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	err = resp.ReadLimitBody(l.reader, MaxAnswerBytes)
	l.release(err == nil && !resp.ConnectionClose())
	if err != nil {
		return answerError(ctx, err)
	}
	return nil
}

// host returns the pool of an address and forgets the pools without connections
// when it adds one.
func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.RLock()
	h := c.hosts[address]
	c.mu.RUnlock()
	if h != nil {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[address]; h != nil {
		return h
	}
	for a, old := range c.hosts {
		if old.ConnsCount() == 0 {
			delete(c.hosts, a)
		}
	}
	h = &fasthttp.HostClient{
		Addr:                address,
		Dial:                c.dial,
		MaxConns:            c.options.MaxConns,
		MaxIdleConnDuration: c.options.IdleTimeout,
		ConnPoolStrategy:    fasthttp.LIFO,
	}
	c.hosts[address] = h
	return h
}

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, c.options.DialTimeout)
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
}

// send writes the request to a connection that its peer has not closed.
func (c *Client) send(ctx context.Context, address string, req *fasthttp.Request) (*lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	h := c.host(address)
	l, err := acquire(ctx, h)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := l.write(h, req); err != nil {
		l.release(false)
		if l.conn.sent == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, answerError(ctx, err)
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
