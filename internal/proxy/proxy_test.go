package proxy

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

var (
	nonIdempotentRoute = fleet.Route{Kind: fleet.RouteNonIdempotent, MaxAttempts: 2}
	idempotentRoute    = fleet.Route{Kind: fleet.RouteIdempotent, MaxAttempts: 2}
	streamRoute        = fleet.Route{Kind: fleet.RouteStream, MaxAttempts: 1}
	resumableRoute     = fleet.Route{Kind: fleet.RouteStream, Resumable: true, MaxAttempts: 2}
)

func respondOK(r *receivedRequest) bool {
	r.writeResponse(r.id(), "fine")
	return true
}

func closeWithoutResponse(*receivedRequest) bool { return false }

func TestResponseIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 201 Created\r\nId: %s\r\nMark: m\r\nContent-Length: 4\r\n\r\nfine", r.id())
		return true
	})
	p := newTestProxy(t, nonIdempotentRoute, e)
	a := p.send(t, "1")
	is.Equal(a.status, 201)
	is.Equal(a.body, "fine")
	is.Equal(a.header.Get("Mark"), "m")
	got := e.receivedRequests()[0]
	is.Equal(string(got.body), "body")
	is.Equal(got.Header.Get("Key"), "")
	is.Equal(got.Header.Get("Organisation"), "o")
	is.Equal(got.Header.Get("Expect-Endpoint"), "e0")
}

// TestStreamResumesAtAnotherEndpoint checks that a resumable stream that breaks off in the middle
// of an event resumes after the last complete one, and that the caller receives one continuous
// stream.
func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 3)
		r.writeChunk("id: 4\nda")
		return false
	})
	second := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(4, 6)
		r.writeLastChunk()
		return true
	})
	p := newTestProxy(t, resumableRoute, broken, second)
	a := p.send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 6))
	is.Equal(second.receivedRequests()[0].Header.Get("After"), "3")
}

// TestDuplicateEventsAreDropped checks that events are not duplicated if the second endpoint
// starts again from the first event.
func TestDuplicateEventsAreDropped(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 3)
		return false
	})
	second := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 5)
		r.writeLastChunk()
		return true
	})
	a := newTestProxy(t, resumableRoute, broken, second).send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 5))
}

// TestMissingEventsBreakTheStream checks that a stream is cut if the second endpoint skips events.
func TestMissingEventsBreakTheStream(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 3)
		return false
	})
	gap := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(5, 6)
		r.writeLastChunk()
		return true
	})
	a := newTestProxy(t, resumableRoute, broken, gap).send(t, "1")
	is.True(a.err != nil)
	is.Equal(a.body, eventTexts(1, 3))
}

// TestNonResumableStreamIsCut checks that a broken stream that cannot be resumed is cut, so that
// the caller does not take it for complete.
func TestNonResumableStreamIsCut(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeEvents(1, 3)
		return false
	})
	second := newTestEndpoint(t, respondOK)
	a := newTestProxy(t, streamRoute, broken, second).send(t, "1")
	is.True(a.err != nil)
	is.Equal(len(second.receivedRequests()), 0)
}

func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nfive!", r.id())
		return false
	})
	second := newTestEndpoint(t, respondOK)
	a := newTestProxy(t, nonIdempotentRoute, broken, second).send(t, "1")
	is.Equal(a.status, 502)
	is.Equal(len(second.receivedRequests()), 0) // it may have run
	is.Equal(newTestProxy(t, idempotentRoute, broken, second).send(t, "2").body, "fine")
}

// TestNonIdempotentRequestIsSentOnce checks that a request is not sent again if an endpoint closes
// the connection without a response: it may have run. The caller is told neither to retry nor that
// the request has not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	silent := newTestEndpoint(t, closeWithoutResponse)
	second := newTestEndpoint(t, respondOK)
	a := newTestProxy(t, nonIdempotentRoute, silent, second).send(t, "1")
	is.Equal(a.status, 502)
	is.Equal(a.header.Get("Retry-After"), "")
	is.Equal(len(second.receivedRequests()), 0)
}

func respondNotExecuted(r *receivedRequest) bool {
	r.writeRaw("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id())
	return true
}

func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	full := newTestEndpoint(t, respondNotExecuted)
	second := newTestEndpoint(t, respondOK)
	is.Equal(newTestProxy(t, nonIdempotentRoute, full, second).send(t, "1").body, "fine")

	once := nonIdempotentRoute
	once.MaxAttempts = 1
	a := newTestProxy(t, once, full, second).send(t, "2")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
}

// TestMismatchedResponsesAreDiscarded checks that a late or duplicate response on a reused
// connection is not given to another request.
func TestMismatchedResponsesAreDiscarded(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		if r.id() == "2" {
			r.writeResponse("1", "late")
		}
		r.writeResponse(r.id(), "own "+r.id())
		return true
	})
	p := newTestProxy(t, nonIdempotentRoute, e)
	is.Equal(p.send(t, "1").body, "own 1")
	is.Equal(p.send(t, "2").body, "own 2")
	is.Equal(p.send(t, "3").body, "own 3")
}

// TestCallerDisconnectReachesTheEndpoint checks that a caller's disconnect before the first event of
// a stream closes the connection to the endpoint.
func TestCallerDisconnectReachesTheEndpoint(t *testing.T) {
	is := is.New(t)
	gone := make(chan time.Time, 1)
	started := make(chan struct{})
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		close(started)
		_, _ = r.conn.Read(make([]byte, 1))
		gone <- time.Now()
		return false
	})
	p := newTestProxy(t, streamRoute, e)
	conn := p.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nContent-Length: 0\r\n\r\n", testRequestHead)
	<-started
	left := time.Now()
	_ = conn.Close()
	select {
	case at := <-gone:
		is.True(at.Sub(left) < 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint's connection was not closed")
	}
}

// TestUnconfirmedConfigurationRefusesRequests checks that a host that cannot confirm its
// configuration refuses with a Retry-After header, and accepts no key.
func TestUnconfirmedConfigurationRefusesRequests(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, respondOK)
	p := newTestProxyWithMaxAge(t, time.Second, nonIdempotentRoute, e)
	p.proxy.confirmedAt.Store(1)
	a := p.send(t, "1")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(e.receivedRequests()), 0)

	conn := p.dial(t)
	_, _ = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: elsewhere\r\nId: 2\r\n\r\n")
	is.Equal(readResponse(t, bufio.NewReader(conn)).status, 503)
}

func TestUnknownRouteAndKey(t *testing.T) {
	is := is.New(t)
	p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, respondOK))
	for _, c := range []struct {
		host, key string
		status    int
	}{{"site", "wrong", 401}, {"elsewhere", "k", 404}, {"SITE:80", "k", 200}} {
		conn := p.dial(t)
		_, _ = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: %s\r\nKey: %s\r\nId: 1\r\n\r\n", c.host, c.key)
		is.Equal(readResponse(t, bufio.NewReader(conn)).status, c.status)
	}
}

// TestAmbiguousLengthIsRejected guards against request smuggling by two conflicting lengths.
func TestAmbiguousLengthIsRejected(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, respondOK)
	p := newTestProxy(t, nonIdempotentRoute, e)
	conn := p.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", testRequestHead)
	is.Equal(readResponse(t, bufio.NewReader(conn)).status, 400)
	is.Equal(len(e.receivedRequests()), 0)
}

// TestDrainingServerClosesAfterResponse checks that a draining server closes a kept-alive
// connection after a response that announces it.
func TestDrainingServerClosesAfterResponse(t *testing.T) {
	is := is.New(t)
	p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, respondOK))
	conn := p.dial(t)
	reader := bufio.NewReader(conn)
	request := testRequestHead + "Id: 1\r\nContent-Length: 0\r\n\r\n"
	_, _ = fmt.Fprint(conn, request)
	is.True(!readResponse(t, reader).closes)
	p.server.Drain(stopping(time.Minute, time.Minute))
	_, _ = fmt.Fprint(conn, request)
	a := readResponse(t, reader)
	is.Equal(a.body, "fine")
	is.True(a.closes)
}

// TestCallerTimeoutIsEnforced checks that a request that an endpoint never answers ends when the
// caller's timeout does.
func TestCallerTimeoutIsEnforced(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		_, _ = r.conn.Read(make([]byte, 1))
		return false
	})
	p := newTestProxy(t, nonIdempotentRoute, e)
	conn := p.dial(t)
	start := time.Now()
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nPatience: 300\r\nContent-Length: 0\r\n\r\n", testRequestHead)
	is.Equal(readResponse(t, bufio.NewReader(conn)).status, 504)
	is.True(time.Since(start) < 800*time.Millisecond)
}
