package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
	"rattanchute/internal/relay"
)

// badFieldLines are lines that are no field lines (RFC 9112, 5): their names are no tokens (RFC 9110, 5.6.2).
var badFieldLines = []string{
	"X Mark: on", "X-Mark : on", "X-Mark\t: on", "X\tMark: on", " X-Mark: on", "X-Mark \t : on", ": on", " : on", "X-Mark",
	"Content-Length : 4", "Content Length: 4", "Transfer-Encoding : chunked", "Id : other", "Not-Executed : 1",
	"X\x00Mark: on", "X\x01Mark: on", "X\x08Mark: on", "X\x0bMark: on", "X\x1fMark: on", "X\x7fMark: on", "\x00X-Mark: on",
	"X-Mark\x00: on", "X\rMark: on", "X\r: on",
	"X(Mark): on", "X@Mark: on", "\"X-Mark\": on", "X-M\xe4rk: on", "X-M\u00e4rk: on", "X\x80: on",
}

// badFieldAnswers returns the answers to a request that hold a line which is no field line: at the start and at the end of the
// head, in that of an interim response, and in the trailer, with each framing.
func badFieldAnswers(stream bool, line string) map[string]string {
	const status = "HTTP/1.1 200 OK\r\n"
	framed := framedAnswers(stream)
	answers := map[string]string{}
	for framing, f := range framed {
		answers[framing+", first"] = status + line + "\r\n" + f.fields + "\r\n" + f.body
		answers[framing+", last"] = status + f.fields + line + "\r\n\r\n" + f.body
	}
	length, chunked, unframed := framed["length"], framed["chunked"], framed["close"]
	// A receiver that takes the line for a framing reads another body than one that does not.
	answers["framed by the line"] = status + unframed.fields + line + "\r\n\r\n" + chunked.body
	answers["interim, first"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\nLink: x\r\n\r\n" +
		status + length.fields + "\r\n" + length.body
	upToTrailer := status + chunked.fields + "\r\n" + strings.TrimSuffix(chunked.body, "\r\n")
	answers["trailer, first"] = upToTrailer + line + "\r\n\r\n"
	answers["trailer, last"] = upToTrailer + "Sum: 1\r\n" + line + "\r\n\r\n"
	for name := range answers {
		// Such a line continues the one before it (RFC 9112, 5.2).
		if strings.HasPrefix(line, " ") && !strings.HasSuffix(name, "first") {
			delete(answers, name)
		}
	}
	return answers
}

// TestAnswerWithABadFieldNameIsNotPassedOn has endpoints in trouble give answers in which a line is no field line.
func TestAnswerWithABadFieldNameIsNotPassedOn(t *testing.T) {
	for _, way := range answerWays() {
		t.Run(way.String(), func(t *testing.T) {
			t.Parallel()
			s := newAnswerSite(t, way)
			for _, line := range badFieldLines {
				for name, answer := range badFieldAnswers(way.route.Kind == fleet.RouteStream, line) {
					for _, bodyBytes := range answerBodies {
						got, runs := s.play(t, answer, bodyBytes)
						wrong := way.judgeBroken(got, runs)
						if wrong == "" && !strings.HasPrefix(name, "trailer") && got.status != http.StatusBadGateway {
							wrong = "a part of it passed on"
						}
						if wrong != "" {
							t.Errorf("%q, %s, %d bytes: %s: status %d, header %q, body %q, error %v, %d runs",
								line, name, bodyBytes, wrong, got.status, got.header, got.body, got.err, runs)
						}
					}
				}
			}
			t.Logf("%d answers", s.played)
		})
	}
}

// TestRequestWithABadAnswerIsRepeatedWhereItMayBe has the first endpoint give such an answer, and the second one a sound one.
func TestRequestWithABadAnswerIsRepeatedWhereItMayBe(t *testing.T) {
	for _, throughPeer := range []bool{false, true} {
		for _, route := range []fleet.Route{nonIdempotentRoute, idempotentRoute} {
			t.Run(fmt.Sprintf("%v, peer %v", route.Kind, throughPeer), func(t *testing.T) {
				is := is.New(t)
				first := newTestEndpoint(t, func(r *receivedRequest) bool {
					r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\nX Mark: on\r\nContent-Length: 4\r\n\r\noops", r.id())
					return true
				})
				second := newTestEndpoint(t, respondOK)
				got := proxyFor(t, throughPeer, route, first, second).send(t, "1")
				is.NoErr(got.err)
				is.Equal(len(first.receivedRequests()), 1)
				if !route.Retryable() {
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(len(second.receivedRequests()), 0)
					return
				}
				is.Equal(got.body, "fine")
				is.Equal(len(second.receivedRequests()), 1)
			})
		}
	}
}

// TestAnswerOfAPeerWithABadFieldNameSaysNothing has a peer, the only one, give such an answer: also a line that would say that the
// request was not sent.
func TestAnswerOfAPeerWithABadFieldNameSaysNothing(t *testing.T) {
	answered := relay.Header + ": " + relay.Encode(relay.Response{Result: relay.Answered, Endpoint: "e0"}) + "\r\n"
	for _, fields := range []string{
		answered + "X Mark: on\r\n",
		answered + "X\x01Mark: on\r\n",
		relay.Header + " : " + relay.Encode(relay.Response{Result: relay.Answered, Endpoint: "e0"}) + "\r\n",
		relay.Header + " : " + relay.Encode(relay.Response{Result: relay.NotSent, Reason: "x"}) + "\r\n",
		relay.Header + " : " + relay.Encode(relay.Response{Result: relay.NotRun, Reason: "x"}) + "\r\n",
	} {
		for _, route := range []fleet.Route{nonIdempotentRoute, idempotentRoute, streamRoute} {
			peer := newTestEndpoint(t, func(r *receivedRequest) bool {
				r.writeRaw("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 4\r\n\r\noops", r.id(), fields)
				return true
			})
			first := newTestProxy(t, route)
			first.relayTo(relay.Peer{Name: "p", Address: peer.listener.Addr().String()})
			got := first.send(t, "1")
			way := answerWay{route: route, throughPeer: true}
			if wrong := way.judgeBroken(got, len(peer.receivedRequests())); wrong != "" {
				t.Errorf("%v, %q: %s: status %d, body %q, error %v", way, fields, wrong, got.status, got.body, got.err)
			}
		}
	}
}
