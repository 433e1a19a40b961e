package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/contain"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// expiredListener accepts connections on which a write deadline has passed, as a stream leaves it.
type expiredListener struct{ net.Listener }

func (l expiredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.SetWriteDeadline(time.Now().Add(-time.Second))
	}
	return conn, err
}

type noTable struct{}

func (noTable) Table() *route.Table { return nil }

// TestPlainResponseAfterAStreamIsWritten guards against a write deadline that outlives the stream for
// which it was set.
func TestPlainResponseAfterAStreamIsWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := newTestServer()
	go func() { _ = s.http.Serve(expiredListener{listener}) }()
	t.Cleanup(func() { _ = listener.Close() })
	response, err := http.Get("http://" + listener.Addr().String() + "/v1/models")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

// emptyTable has a configuration without organisations.
type emptyTable struct{}

func (emptyTable) Table() *route.Table { return route.Compile(&fleet.Configuration{}) }

// TestNoKeyIsKnownWithoutOrganisations guards against a server that serves every key once its configuration has no
// organisation left.
func TestNoKeyIsKnownWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := newServer(Limits{}, emptyTable{})
	go func() { _ = s.Serve(listener, nil) }()
	t.Cleanup(func() { _ = listener.Close() })
	for _, key := range []string{"Bearer key", "Bearer ", ""} {
		request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/v1/models", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", key)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusUnauthorized)
	}
}

func newTestServer() *Server { return newLimitedServer(Limits{}) }

func newLimitedServer(limits Limits) *Server { return newServer(limits, noTable{}) }

func newServer(limits Limits, tables TableSource) *Server {
	logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	return New(nil, tables, limits, Process{
		Bodies: bodybudget.New(1<<20, 0), Boundary: contain.NewBoundary(logger, prometheus.NewRegistry()), Log: logger,
	})
}

// TestPanicEndsOneConnectionOnly: a server without a table panics when it looks for an organisation.
func TestPanicEndsOneConnectionOnly(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := newTestServer()
	go func() { _ = s.Serve(listener, nil) }()
	t.Cleanup(func() { _ = listener.Close() })
	for _, c := range []struct {
		key    string
		status int
	}{
		{"Bearer key", http.StatusInternalServerError},
		{"", http.StatusUnauthorized},
	} {
		request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/v1/models", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", c.key)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, c.status)
	}
}

// TestRefusalOfAStoppingDaemonClosesItsConnection guards against callers that go on sending to a daemon that refuses
// everything.
func TestRefusalOfAStoppingDaemonClosesItsConnection(t *testing.T) {
	is := is.New(t)
	for _, code := range []string{dispatcher.CodeShuttingDown, "too_many_streams"} {
		var ctx fasthttp.RequestCtx
		writeRefusal(&ctx, dispatcher.NewRefusal(fasthttp.StatusServiceUnavailable, "r1", code, "text"))
		is.Equal(ctx.Response.ConnectionClose(), code == dispatcher.CodeShuttingDown)
	}
}

// TestCallerThatDoesNotReadIsDisconnected guards against responses that are written for ever. The buffers between both are
// as small as the daemon's: those that the operating system takes by itself hold tens of thousands of responses.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	is := is.New(t)
	listener, err := connlisten.Listen("127.0.0.1:0", 16<<10)
	is.NoErr(err)
	server := newLimitedServer(Limits{MaxHeaderBytes: 1 << 10, WriteTimeout: 100 * time.Millisecond})
	go func() { _ = server.Serve(listener, nil) }()
	defer func() { _ = server.Shutdown(t.Context()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(16 << 10))
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	for err == nil { // until the server, which cannot write, no longer reads, and then closes
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
}
