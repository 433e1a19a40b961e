// Package httpclient sends HTTP requests over pooled fasthttp connections. It never sends
// a request twice, and an error wraps ErrNotSent only if no byte of the request was sent.
package httpclient

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNotSent is wrapped by errors of requests of which certainly no byte was sent.
var ErrNotSent = errors.New("no byte of the request was sent")

// Defaults of a Client.
const (
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = 5 * time.Second
	DefaultMaxConns    = 4096
	// MaxResponseBytes bounds a buffered response body.
	MaxResponseBytes = 64 << 20
)

// Options are the limits of a Client. Zero fields take the defaults.
type Options struct {
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxConns bounds the connections to one target.
	MaxConns int
	// TCPUserTimeout bounds how long sent bytes may stay unacknowledged before the
	// connection fails. Zero keeps the default of the operating system.
	TCPUserTimeout time.Duration
	// LocalIP is the address that connections come from; empty for that of the operating system's choice.
	LocalIP string
	// Dial opens connections; nil for those of the operating system.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Target identifies the receiver of a request. Only requests with the same target share
// connections, so a connection to a previous owner of an address is not used for the next.
type Target struct {
	// Address is "ip:port".
	Address string
	// Instance distinguishes processes that own the address one after the other.
	Instance string
}

// Client keeps a pool of connections for each target.
type Client struct {
	options Options
	mu      sync.RWMutex
	pools   map[Target]*fasthttp.HostClient
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
	return &Client{options: o, pools: map[Target]*fasthttp.HostClient{}}
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, h := range c.pools {
		h.CloseIdleConnections()
	}
}

// Do sends a request and reads the whole response, of at most MaxResponseBytes.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.DoWith(ctx, address, req, resp, DoOptions{})
}

// DoOptions are the conditions of sending a request and reading its whole response. Zero fields set none.
type DoOptions struct {
	// BeforeSend is that of OpenOptions.
	BeforeSend func() error
	// Room is asked for the memory of the response's body before it is taken.
	Room Room
	// MaxBytes bounds the response's body; zero for MaxResponseBytes.
	MaxBytes int
}

// Return gives back the room of a response that DoWith has read.
func (o DoOptions) Return(resp *fasthttp.Response) {
	if body := resp.Body(); len(body) > 0 {
		returnRoom(o.Room, body)
	}
}

// DoWith is Do with options.
func (c *Client) DoWith(
	ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, o DoOptions,
) error {
	x, err := c.send(ctx, Target{Address: address}, req, OpenOptions{BeforeSend: o.BeforeSend})
	if err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	if err = x.readResponse(ctx, resp, cmp.Or(o.MaxBytes, MaxResponseBytes), o.Room); err != nil {
		err = responseError(ctx, err)
	}
	x.release(err == nil && !resp.ConnectionClose())
	return err
}

// pool returns the connection pool of a target. When it adds a pool, it removes those
// without connections.
func (c *Client) pool(target Target) *fasthttp.HostClient {
	c.mu.RLock()
	p := c.pools[target]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[target]; p != nil {
		return p
	}
	for a, old := range c.pools {
		if old.ConnsCount() == 0 {
			delete(c.pools, a)
		}
	}
	p = &fasthttp.HostClient{
		Addr:                target.Address,
		Dial:                c.dial,
		MaxConns:            c.options.MaxConns,
		MaxIdleConnDuration: c.options.IdleTimeout,
		ConnPoolStrategy:    fasthttp.LIFO,
	}
	c.pools[target] = p
	return p
}

// Accepts reports whether an address accepts a connection before the context ends. It closes the connection.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	conn, err := c.dialContext(ctx, net.Dialer{}, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *Client) dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.options.DialTimeout, ControlContext: setTCPUserTimeout(c.options.TCPUserTimeout)}
	conn, err := c.dialContext(context.Background(), dialer, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, openedAt: time.Now()}, nil
}

// dialContext opens a connection as the options say.
func (c *Client) dialContext(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
	if ip := net.ParseIP(c.options.LocalIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	if c.options.Dial == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	if dialer.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
	}
	return c.options.Dial(ctx, "tcp", address)
}
