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
	plainRoute      = fleet.Route{Kind: fleet.RouteNonIdempotent, MaxAttempts: 2}
	idempotentRoute = fleet.Route{Kind: fleet.RouteIdempotent, MaxAttempts: 2}
	streamRoute     = fleet.Route{Kind: fleet.RouteStream, MaxAttempts: 1}
	resumableRoute  = fleet.Route{Kind: fleet.RouteStream, Resumable: true, MaxAttempts: 2}
)

func answerOK(r *received) bool {
	r.sayWhole(r.id(), "fine")
	return true
}

func closeUnanswered(*received) bool { return false }

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *received) bool {
		r.say("HTTP/1.1 201 Created\r\nId: %s\r\nMark: m\r\nContent-Length: 4\r\n\r\nfine", r.id())
		return true
	})
	s := newTestSite(t, plainRoute, e)
	a := s.ask(t, "1")
	is.Equal(a.status, 201)
	is.Equal(a.body, "fine")
	is.Equal(a.header.Get("Mark"), "m")
	got := e.seen()[0]
	is.Equal(string(got.body), "body")
	is.Equal(got.Header.Get("Key"), "")
	is.Equal(got.Header.Get("Organisation"), "o")
	is.Equal(got.Header.Get("Expect-Endpoint"), "e0")
}

// TestStreamGoesOnAtAnotherEndpoint: a resumable stream that breaks in the middle of an
// event goes on after the last whole one, and the caller sees no seam.
func TestStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(1, 3)
		r.sayChunk("id: 4\nda")
		return false
	})
	second := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(4, 6)
		r.sayEnd()
		return true
	})
	s := newTestSite(t, resumableRoute, broken, second)
	a := s.ask(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 6))
	is.Equal(second.seen()[0].Header.Get("After"), "3")
}

// TestRepeatedEventsAreDropped: an endpoint that begins again does not make events double.
func TestRepeatedEventsAreDropped(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(1, 3)
		return false
	})
	second := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(1, 5)
		r.sayEnd()
		return true
	})
	a := newTestSite(t, resumableRoute, broken, second).ask(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 5))
}

// TestGapBreaksTheStream: events that an endpoint leaves out are never papered over.
func TestGapBreaksTheStream(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(1, 3)
		return false
	})
	gap := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(5, 6)
		r.sayEnd()
		return true
	})
	a := newTestSite(t, resumableRoute, broken, gap).ask(t, "1")
	is.True(a.err != nil)
	is.Equal(a.body, eventTexts(1, 3))
}

// TestStreamThatMayNotGoOnIsCut: its end must not look like one.
func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *received) bool {
		r.sayEvents(1, 3)
		return false
	})
	second := newTestEndpoint(t, answerOK)
	a := newTestSite(t, streamRoute, broken, second).ask(t, "1")
	is.True(a.err != nil)
	is.Equal(len(second.seen()), 0)
}

func TestPartOfAPlainAnswerIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	broken := newTestEndpoint(t, func(r *received) bool {
		r.say("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nfive!", r.id())
		return false
	})
	second := newTestEndpoint(t, answerOK)
	a := newTestSite(t, plainRoute, broken, second).ask(t, "1")
	is.Equal(a.status, 502)
	is.Equal(len(second.seen()), 0) // it may have run
	is.Equal(newTestSite(t, idempotentRoute, broken, second).ask(t, "2").body, "fine")
}

// TestNonIdempotentRequestIsSentOnce: an endpoint that closes without an answer may have
// run it, so that the caller is told neither to come back nor that it has not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	silent := newTestEndpoint(t, closeUnanswered)
	second := newTestEndpoint(t, answerOK)
	a := newTestSite(t, plainRoute, silent, second).ask(t, "1")
	is.Equal(a.status, 502)
	is.Equal(a.header.Get("Retry-After"), "")
	is.Equal(len(second.seen()), 0)
}

func refuseUnrun(r *received) bool {
	r.say("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id())
	return true
}

func TestRefusedRequestGoesToAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	full := newTestEndpoint(t, refuseUnrun)
	second := newTestEndpoint(t, answerOK)
	is.Equal(newTestSite(t, plainRoute, full, second).ask(t, "1").body, "fine")

	once := plainRoute
	once.MaxAttempts = 1
	a := newTestSite(t, once, full, second).ask(t, "2")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
}

// TestAnswersToOtherRequestsArePassedOver: a late or extra answer on a kept connection is
// nobody's.
func TestAnswersToOtherRequestsArePassedOver(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *received) bool {
		if r.id() == "2" {
			r.sayWhole("1", "late")
		}
		r.sayWhole(r.id(), "own "+r.id())
		return true
	})
	s := newTestSite(t, plainRoute, e)
	is.Equal(s.ask(t, "1").body, "own 1")
	is.Equal(s.ask(t, "2").body, "own 2")
	is.Equal(s.ask(t, "3").body, "own 3")
}

// TestLeavingCallerReachesTheEndpoint: also before the first event.
func TestLeavingCallerReachesTheEndpoint(t *testing.T) {
	is := is.New(t)
	gone := make(chan time.Time, 1)
	began := make(chan struct{})
	e := newTestEndpoint(t, func(r *received) bool {
		close(began)
		_, _ = r.conn.Read(make([]byte, 1))
		gone <- time.Now()
		return false
	})
	s := newTestSite(t, streamRoute, e)
	conn := s.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nContent-Length: 0\r\n\r\n", testHead)
	<-began
	left := time.Now()
	_ = conn.Close()
	select {
	case at := <-gone:
		is.True(at.Sub(left) < 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint was never told")
	}
}

// TestUnknownIsNotSaidOnAnOldConfiguration: a host that cannot confirm its configuration
// refuses with a time to come back, and uses no key.
func TestUnknownIsNotSaidOnAnOldConfiguration(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, answerOK)
	s := newTestSite(t, plainRoute, e)
	s.proxy.confirmedAt.Store(1)
	a := s.ask(t, "1")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(len(e.seen()), 0)

	conn := s.dial(t)
	_, _ = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: elsewhere\r\nId: 2\r\n\r\n")
	is.Equal(readAnswer(t, bufio.NewReader(conn)).status, 503)
}

func TestUnknownRouteAndKey(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, plainRoute, newTestEndpoint(t, answerOK))
	for _, c := range []struct {
		host, key string
		status    int
	}{{"site", "wrong", 401}, {"elsewhere", "k", 404}, {"SITE:80", "k", 200}} {
		conn := s.dial(t)
		_, _ = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: %s\r\nKey: %s\r\nId: 1\r\n\r\n", c.host, c.key)
		is.Equal(readAnswer(t, bufio.NewReader(conn)).status, c.status)
	}
}

// TestTwoLengthsAreRefused: a request must not be read in two ways.
func TestTwoLengthsAreRefused(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, answerOK)
	s := newTestSite(t, plainRoute, e)
	conn := s.dial(t)
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", testHead)
	is.Equal(readAnswer(t, bufio.NewReader(conn)).status, 400)
	is.Equal(len(e.seen()), 0)
}

// TestStoppingServerClosesOnAnAnswer: kept connections end with an answer that says so.
func TestStoppingServerClosesOnAnAnswer(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t, plainRoute, newTestEndpoint(t, answerOK))
	conn := s.dial(t)
	reader := bufio.NewReader(conn)
	request := testHead + "Id: 1\r\nContent-Length: 0\r\n\r\n"
	_, _ = fmt.Fprint(conn, request)
	is.True(!readAnswer(t, reader).closes)
	s.server.Drain()
	_, _ = fmt.Fprint(conn, request)
	a := readAnswer(t, reader)
	is.Equal(a.body, "fine")
	is.True(a.closes)
}

// TestTimeoutIsAnsweredAtOnce: a request that an endpoint never answers ends at the time
// that the caller waits.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *received) bool {
		_, _ = r.conn.Read(make([]byte, 1))
		return false
	})
	s := newTestSite(t, plainRoute, e)
	conn := s.dial(t)
	began := time.Now()
	_, _ = fmt.Fprintf(conn, "%sId: 1\r\nPatience: 300\r\nContent-Length: 0\r\n\r\n", testHead)
	is.Equal(readAnswer(t, bufio.NewReader(conn)).status, 504)
	is.True(time.Since(began) < 800*time.Millisecond)
}
