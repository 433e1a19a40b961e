package proxy

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/httpclient"
)

// framedStream writes a stream with one kind of framing, all of it at once.
func (r *receivedRequest) framedStream(framing httpclient.Framing, text string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n", r.id())
	switch framing {
	case httpclient.FramingClose:
		r.writeRaw("%s\r\n%s", head, text)
	case httpclient.FramingLength:
		r.writeRaw("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	case httpclient.FramingChunked:
		r.writeRaw("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
	}
}

func streamEndpoint(t *testing.T, framing httpclient.Framing, text string) *testEndpoint {
	t.Helper()
	return newTestEndpoint(t, func(r *receivedRequest) bool {
		r.framedStream(framing, text)
		return framing != httpclient.FramingClose
	})
}

var framings = []httpclient.Framing{httpclient.FramingClose, httpclient.FramingLength, httpclient.FramingChunked}

// partialEvents are what a stream may end with inside an event, whose number is 4.
var partialEvents = []string{"i", "id: 4", "id: 4\ndata: pie", "id: 4\ndata: piece 4\n"}

func TestStreamCutInsideAnEventIsNotEndedAsComplete(t *testing.T) {
	for _, framing := range framings {
		for _, partial := range partialEvents {
			t.Run(fmt.Sprintf("%s/%q", framing, partial), func(t *testing.T) {
				is := is.New(t)
				p := newTestProxy(t, streamRoute, streamEndpoint(t, framing, eventTexts(1, 3)+partial))
				a := p.send(t, "1")
				is.Equal(a.status, 200)
				is.True(a.err != nil) // a response that ends properly counts as complete
				is.Equal(a.body, eventTexts(1, 3))
			})
		}
	}
}

func TestStreamCutInsideAnEventResumesElsewhere(t *testing.T) {
	for _, framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			is := is.New(t)
			second := streamEndpoint(t, httpclient.FramingChunked, eventTexts(4, 6))
			p := newTestProxy(t, resumableRoute, streamEndpoint(t, framing, eventTexts(1, 3)+partialEvents[2]), second)
			a := p.send(t, "1")
			is.NoErr(a.err)
			is.Equal(a.body, eventTexts(1, 6))
			is.Equal(second.receivedRequests()[0].Header.Get("After"), "3")
		})
	}
}

func TestResumedStreamCutInsideAnEventIsNotEndedAsComplete(t *testing.T) {
	is := is.New(t)
	first := streamEndpoint(t, httpclient.FramingClose, eventTexts(1, 3)+partialEvents[2])
	second := streamEndpoint(t, httpclient.FramingClose, eventTexts(4, 5)+"id: 6\n")
	p := newTestProxy(t, resumableRoute, first, second)
	a := p.send(t, "1")
	is.True(a.err != nil)
	is.Equal(a.body, eventTexts(1, 5))
}

func TestStreamCutBeforeItsFirstEventIsNotEndedAsComplete(t *testing.T) {
	for _, text := range []string{"", "id: 1\nda"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, streamRoute, streamEndpoint(t, httpclient.FramingClose, text))
			is.Equal(p.send(t, "1").status, 502)
		})
	}
}

// TestStreamWithoutLengthEndsWithItsConnection holds that a stream of whole events is complete in every framing.
func TestStreamWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, streamRoute, streamEndpoint(t, framing, eventTexts(1, 3)))
			a := p.send(t, "1")
			is.NoErr(a.err)
			is.Equal(a.body, eventTexts(1, 3))
		})
	}
}

func TestBlankLinesAfterTheLastEventAreNoPartialEvent(t *testing.T) {
	for _, blank := range []string{"\n", "\r\n", "\n\n\n"} {
		t.Run(fmt.Sprintf("%q", blank), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, streamRoute, streamEndpoint(t, httpclient.FramingClose, eventTexts(1, 3)+blank))
			is.NoErr(p.send(t, "1").err)
		})
	}
}

func TestPlainResponseOnAStreamRouteIsForwardedWhole(t *testing.T) {
	is := is.New(t)
	p := newTestProxy(t, streamRoute, newTestEndpoint(t, func(r *receivedRequest) bool {
		r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", r.id())
		return true
	}))
	a := p.send(t, "1")
	is.NoErr(a.err)
	is.Equal(a.status, 200)
	is.Equal(a.body, "{}")
}
