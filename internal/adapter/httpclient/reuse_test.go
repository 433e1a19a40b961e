package httpclient

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

func serve(t *testing.T, handler fasthttp.RequestHandler) *countingListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(counting) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return counting
}

// TestConnectionIsReusedAfterTheDrainTimeout checks that a connection whose response was
// read to its end is reused even after drainTimeout: the read deadline that Finish sets
// must not stay on the idle connection.
func TestConnectionIsReusedAfterTheDrainTimeout(t *testing.T) {
	is := is.New(t)
	listener := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	client := New(Options{})
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + listener.Addr().String() + "/")
		body, err := client.Open(ctx, listener.Addr().String(), req)
		is.NoErr(err)
		body.Finish()
		cancel()
		fasthttp.ReleaseRequest(req)
		time.Sleep(2 * drainTimeout)
	}
	is.Equal(listener.accepted.Load(), int64(1))
}
