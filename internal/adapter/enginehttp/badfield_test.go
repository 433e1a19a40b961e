package enginehttp_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"rattanchute/internal/engine"
)

// badFields are lines whose names are no tokens (RFC 9110, 5.6.2).
var badFields = []string{
	"X Mark: on", "X-Mark : on", "X-Not-Run : true", "Content-Length : 4", "X\x00Mark: on", "X\x7fMark: on", "X-M\u00e4rk: on",
}

// TestBadFieldNameIsNoAnswerOfAService sends such answers, refusals among them.
func TestBadFieldNameIsNoAnswerOfAService(t *testing.T) {
	for _, line := range badFields {
		for _, raw := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 21\r\n\r\n" + wholeText,
			"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n" + wholeText,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n" + wholeText + "\r\n0\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n" + wholeText,
			"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbusy",
		} {
			address := cuttingEndpoint(t, raw, func(*http.Request) int { return len(raw) })
			response, err := newClient().Call(context.Background(), address, engine.Call{Method: http.MethodPost, URI: "/x"})
			if err == nil || errors.Is(err, engine.ErrNotSent) {
				t.Errorf("%q: status %d, %q, error %v", raw, response.Status, response.Body, err)
			}
		}
	}
}

// TestBadFieldNameIsNoStreamOfAnEngine sends such heads before a whole stream, in each framing.
func TestBadFieldNameIsNoStreamOfAnEngine(t *testing.T) {
	for _, line := range badFields {
		for name, sound := range engineResponses(engineEvents(3)) {
			raw := sound[:statusLineBytes] + line + "\r\n" + sound[statusLineBytes:]
			if name == "after 103" {
				raw = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + sound
			}
			address := cuttingEndpoint(t, raw, func(*http.Request) int { return len(raw) })
			texts, err := generateAll(address)
			if err == nil || errors.Is(err, engine.ErrNotSent) || len(texts) > 0 {
				t.Errorf("%q: %q, error %v", raw, texts, err)
			}
		}
	}
}

// statusLineBytes is the length of the status line of a success.
const statusLineBytes = len("HTTP/1.1 200 OK\r\n")
