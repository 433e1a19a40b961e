package httpclient

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// accept starts a listener that hands each connection to a function.
func accept(t *testing.T, serveConn func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func TestProbeNeedsAResponse(t *testing.T) {
	is := is.New(t)
	client := New(Options{})
	probe := func(address string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		return client.Probe(ctx, address, "/health")
	}
	for _, status := range []int{200, 404, 503} {
		path := make(chan string, 1)
		listener := serve(t, func(ctx *fasthttp.RequestCtx) {
			path <- string(ctx.Path())
			ctx.SetStatusCode(status)
		})
		is.NoErr(probe(listener.Addr().String()))
		is.Equal(<-path, "/health")
	}
	reset := accept(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	err := probe(reset)
	is.True(err != nil && !errors.Is(err, ErrNotSent) && !errors.Is(err, context.DeadlineExceeded))
	silent := accept(t, func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 4096)) })
	began := time.Now()
	is.True(errors.Is(probe(silent), context.DeadlineExceeded))
	is.True(time.Since(began) < time.Second)
	is.True(errors.Is(probe("127.0.0.1:1"), ErrNotSent))
}
