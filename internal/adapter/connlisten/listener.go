// Package connlisten bounds the connections of HTTP listeners, as a connlimit.Table decides.
package connlisten

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
	"rattanchute/internal/connlimit"
)

// Listener accepts as many connections as its table takes, and closes the others.
type Listener struct {
	net.Listener
	table *connlimit.Table
	most  int
}

// NewListener returns a listener of at most a number of connections; not positive means no limit.
func NewListener(l net.Listener, table *connlimit.Table, most int) *Listener {
	return &Listener{Listener: l, table: table, most: most}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		entry, ok := l.table.Add(clock.Now(), l.most, func() { _ = accepted.Close() })
		if ok {
			return &limitedConn{Conn: accepted, entry: entry}, nil
		}
		_ = accepted.Close()
	}
}

// limitedConn is a connection that leaves its table when it is closed.
type limitedConn struct {
	net.Conn
	entry *connlimit.Entry
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.entry.Remove()
	return c.Conn.Close()
}

// entryOf returns the entry of a connection, which may be wrapped in TLS; nil if it comes from no Listener.
func entryOf(conn net.Conn) *connlimit.Entry {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	if limited, ok := conn.(*limitedConn); ok {
		return limited.entry
	}
	return nil
}

// Handler returns a handler that records that the whole header of a request has come.
func Handler(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if e := entryOf(ctx.Conn()); e != nil {
			e.Begin()
		}
		h(ctx)
	}
}

// StateOf returns the ConnState function of a server behind a Listener.
//
// What the server writes before the whole header of a request has come, "100 Continue" and responses that wait for requests
// behind theirs, has the server's time for a header and that for a response together.
func StateOf(server *fasthttp.Server) func(net.Conn, fasthttp.ConnState) {
	return func(conn net.Conn, state fasthttp.ConnState) {
		switch state {
		case fasthttp.StateActive:
			// Else the deadline of the response before would hold. If the connection is gone, the next write fails too.
			_ = conn.SetWriteDeadline(earlyWriteDeadline(server))
		case fasthttp.StateIdle:
			if e := entryOf(conn); e != nil {
				e.End(clock.Now())
			}
		}
	}
}

// earlyWriteDeadline returns the end of the time for what is written before a header that begins now is whole; zero for a server
// without a time for writes.
func earlyWriteDeadline(server *fasthttp.Server) time.Time {
	if server.WriteTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(server.ReadTimeout + server.WriteTimeout)
}

// HTTPStateOf is the ConnState function of an http.Server behind a Listener.
func HTTPStateOf(conn net.Conn, state http.ConnState) {
	if e := entryOf(conn); e != nil && state == http.StateIdle {
		e.End(clock.Now())
	}
}

// entryKey is the key of a connection's entry in the context of its requests.
type entryKey struct{}

// HTTPContext is the ConnContext function of an http.Server behind a Listener whose handler is one of HTTPHandler.
func HTTPContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, entryKey{}, entryOf(conn))
}

// HTTPHandler is Handler for an http.Server.
func HTTPHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e, _ := r.Context().Value(entryKey{}).(*connlimit.Entry); e != nil {
			e.Begin()
		}
		h.ServeHTTP(w, r)
	})
}
