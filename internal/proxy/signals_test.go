package proxy

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

// respondWith answers with a status line, header lines and a body of a known length.
func respondWith(status, lines, body string) responder {
	return func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.id(), lines, len(body), body)
		return true
	}
}

// leavingResponses are responses of all kinds that say that their endpoint leaves.
var leavingResponses = []struct {
	name    string
	route   fleet.Route
	respond responder
}{
	{"200", nonIdempotentRoute, respondWith("200 OK", "Leaving: 1\r\n", "fine")},
	{"404", nonIdempotentRoute, respondWith("404 Not Found", "Leaving: 1\r\n", "none")},
	{"500", nonIdempotentRoute, respondWith("500 Internal Server Error", "Leaving: 1\r\n", "no")},
	{"503, not run", idempotentRoute, respondWith("503 Service Unavailable", "Leaving: 1\r\nNot-Executed: 1\r\n", "")},
	{"421", idempotentRoute, respondWith("421 Misdirected Request", "Leaving: 1\r\n", "")},
	{"trailer", nonIdempotentRoute, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nTrailer: Leaving\r\nTransfer-Encoding: chunked\r\n\r\n", r.id())
		r.writeRaw("4\r\nfine\r\n0\r\nLeaving: 1\r\n\r\n")
		return true
	}},
	{"stream", streamRoute, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", r.id())
		r.writeChunk(eventText(1))
		r.writeLastChunk()
		return true
	}},
}

func TestEndpointThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	for _, c := range leavingResponses {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			leaving := newTestEndpoint(t, c.respond)
			other := newTestEndpoint(t, respondOK)
			r := c.route
			r.Kind = fleet.RouteNonIdempotent
			if c.name == "stream" {
				r.Kind = fleet.RouteStream
				other.responder = func(r *receivedRequest) bool {
					r.framedStream("chunked", eventTexts(1, 1))
					return true
				}
			}
			p := newTestProxy(t, r, leaving, other)
			p.send(t, "0")
			is.Equal(len(leaving.receivedRequests()), 1)
			is.Equal(p.leaving.Load(), int64(1))
			for i := range 10 {
				is.Equal(p.send(t, strconv.Itoa(i+1)).status, 200)
			}
			is.Equal(len(leaving.receivedRequests()), 1)
		})
	}
}

// TestRunningStreamOfALeavingEndpointGoesOn also covers that a second request is placed elsewhere meanwhile.
func TestRunningStreamOfALeavingEndpointGoesOn(t *testing.T) {
	is := is.New(t)
	goOn := make(chan struct{})
	leaving := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", r.id())
		r.writeChunk(eventText(1))
		<-goOn
		r.writeChunk(eventText(2))
		r.writeLastChunk()
		return true
	})
	other := streamEndpoint(t, "chunked", eventTexts(1, 2))
	p := newTestProxy(t, streamRoute, leaving, other)
	running := make(chan callerResponse)
	go func() { running <- p.send(t, "1") }()
	for deadline := time.Now().Add(5 * time.Second); p.leaving.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not found to leave")
		}
	}
	is.Equal(p.send(t, "2").body, eventTexts(1, 2))
	is.Equal(len(other.receivedRequests()), 1)
	close(goOn)
	a := <-running
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 2))
}

func TestLastEndpointThatLeavesIsNotALastResort(t *testing.T) {
	is := is.New(t)
	leaving := newTestEndpoint(t, respondWith("200 OK", "Leaving: 1\r\n", "fine"))
	p := newTestProxy(t, nonIdempotentRoute, leaving)
	is.Equal(p.send(t, "1").status, 200)
	is.Equal(p.send(t, "2").status, 503)
	is.Equal(len(leaving.receivedRequests()), 1)
}

const notRun = "Not-Executed: 1\r\n"

func TestClosedEndpointGetsNoRequestUntilTheStatedEnd(t *testing.T) {
	is := is.New(t)
	var open atomic.Bool
	full := newTestEndpoint(t, func(r *receivedRequest) bool {
		if open.Load() {
			return respondOK(r)
		}
		return respondWith("503 Service Unavailable", "Retry-After: 0.4\r\n"+notRun, "")(r)
	})
	p := newTestProxy(t, idempotentRoute, full, newTestEndpoint(t, respondOK))
	is.Equal(p.send(t, "0").status, 200) // placed anew
	closedAt := time.Now()
	open.Store(true)
	for i := range 20 {
		is.Equal(p.send(t, strconv.Itoa(i+1)).status, 200)
	}
	is.True(time.Since(closedAt) < 300*time.Millisecond || len(full.receivedRequests()) == 1)
	for len(full.receivedRequests()) == 1 && time.Since(closedAt) < 5*time.Second {
		is.Equal(p.send(t, "late"+strconv.FormatInt(time.Since(closedAt).Milliseconds(), 10)).status, 200)
	}
	is.True(len(full.receivedRequests()) > 1) // and then it is served again
	is.True(time.Since(closedAt) >= 400*time.Millisecond)
}

func TestAllEndpointsClosedRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	full := respondWith("503 Service Unavailable", "Retry-After: 7\r\n"+notRun, "")
	one, two := newTestEndpoint(t, full), newTestEndpoint(t, full)
	p := newTestProxy(t, idempotentRoute, one, two)
	for i := range 5 {
		began := time.Now()
		a := p.send(t, strconv.Itoa(i))
		is.Equal(a.status, 503)
		is.Equal(a.body, `{"error":"endpoints_closed"}`)
		is.True(time.Since(began) < time.Second)
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 6 && seconds < 10)
	}
	is.Equal(len(one.receivedRequests())+len(two.receivedRequests()), 2)
}

func TestClosedEndpointIsNotEjected(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	// An error status without the word that nothing ran, so that each counts as an answer.
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		if requests.Add(1) <= 4 {
			return respondWith("503 Service Unavailable", "Retry-After: 0.01\r\n", "")(r)
		}
		return respondOK(r)
	})
	p := newTestProxy(t, nonIdempotentRoute, e)
	for i := 0; requests.Load() <= 4 && i < 1000; i++ {
		p.send(t, fmt.Sprint(i))
		time.Sleep(10 * time.Millisecond)
	}
	before := requests.Load()
	is.Equal(p.send(t, "last").status, 200)
	is.Equal(requests.Load(), before+1)
}

func TestMismatchedResponseSaysNothingAboutItsEndpoint(t *testing.T) {
	is := is.New(t)
	e := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: another\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
		return respondOK(r)
	})
	p := newTestProxy(t, nonIdempotentRoute, e)
	for i := range 3 {
		is.Equal(p.send(t, strconv.Itoa(i)).status, 200)
	}
	is.Equal(p.leaving.Load(), int64(0))
}
