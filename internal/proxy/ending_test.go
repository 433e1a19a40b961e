package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/fleet"
)

// killedEndpoint is an endpoint whose process is killed once it has written the text in a response without a length:
// its system closes the connection in order, and the listener and what else it has accepted later by a delay.
func killedEndpoint(t *testing.T, head, text string, delay time.Duration) *testEndpoint {
	t.Helper()
	var e *testEndpoint
	e = newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", r.id(), head, text)
		if delay > 0 {
			time.AfterFunc(delay, e.kill)
		} else {
			e.kill()
		}
		return false
	})
	return e
}

const eventStreamHead = "Content-Type: text/event-stream\r\n"

var killDelays = []time.Duration{0, 2 * time.Millisecond}

func TestStreamWithoutLengthOfAKilledEndpointIsNotEndedAsComplete(t *testing.T) {
	for _, delay := range killDelays {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, streamRoute, killedEndpoint(t, eventStreamHead, eventTexts(1, 3), delay))
			a := p.send(t, "1")
			is.Equal(a.status, 200)
			is.True(a.err != nil) // a response that ends properly counts as complete
			is.Equal(a.body, eventTexts(1, 3))
		})
	}
}

func TestStreamWithoutLengthOfAKilledEndpointResumesElsewhere(t *testing.T) {
	is := is.New(t)
	second := streamEndpoint(t, httpclient.FramingChunked, eventTexts(4, 6))
	p := newTestProxy(t, resumableRoute, killedEndpoint(t, eventStreamHead, eventTexts(1, 3), 0), second)
	a := p.send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 6))
	is.Equal(second.receivedRequests()[0].Header.Get("After"), "3")
}

func TestPlainResponseWithoutLengthOfAKilledEndpointIsNotPassedOnAsWhole(t *testing.T) {
	for _, delay := range killDelays {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, fleet.Route{Kind: fleet.RouteNonIdempotent}, killedEndpoint(t, "", "par", delay))
			is.Equal(p.send(t, "1").status, http.StatusBadGateway)
		})
	}
}

func TestPlainResponseWithoutLengthOfAKilledEndpointIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	second := newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeResponse(r.id(), "whole")
		return true
	})
	route := fleet.Route{Kind: fleet.RouteIdempotent, MaxAttempts: 2}
	p := newTestProxy(t, route, killedEndpoint(t, "", "par", 0), second)
	a := p.send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, "whole")
}

func TestLastStreamOfALeavingEndpointThatMayNotBeRepeatedIsWhole(t *testing.T) {
	is := is.New(t)
	p := newTestProxy(t, streamRoute, killedEndpoint(t, eventStreamHead+"Leaving: 1\r\n", eventTexts(1, 3), 0))
	a := p.send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.body, eventTexts(1, 3))
}
