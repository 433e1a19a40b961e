package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
)

// TestStatusThatIsNoneIsNotPassedOn has an endpoint in trouble answer with a status below 100.
func TestStatusThatIsNoneIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, interim := range []string{"", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			for _, kind := range []fleet.RouteKind{fleet.RouteNonIdempotent, fleet.RouteIdempotent, fleet.RouteStream} {
				t.Run(fmt.Sprintf("%v, %s after %q", kind, status, interim), func(t *testing.T) {
					is := is.New(t)
					bad := newTestEndpoint(t, func(r *receivedRequest) bool {
						r.writeRaw("%sHTTP/1.1 %s Trouble\r\nId: %s\r\nContent-Length: 4\r\n\r\noops", interim, status, r.id())
						return true
					})
					p := newTestProxy(t, fleet.Route{Kind: kind, MaxAttempts: 2}, bad)
					r := p.send(t, "1")
					is.Equal(r.status, http.StatusBadGateway)
					is.True(r.body != "oops")
					is.Equal(len(bad.receivedRequests()), 1)
				})
			}
		}
	}
}

// invalidStatuses are no statuses of three digits (RFC 9112, 4), or below 100.
var invalidStatuses = []string{"000", "099", "0", "00", "20", "-20", "2x0", "0200", "2000", ""}

// TestStatusThatIsNoneIsRefusedInAllWays has all endpoints give such answers, directly and through a peer, with each framing.
func TestStatusThatIsNoneIsRefusedInAllWays(t *testing.T) {
	for _, way := range answerWays() {
		t.Run(way.String(), func(t *testing.T) {
			t.Parallel()
			s := newAnswerSite(t, way)
			for _, status := range invalidStatuses {
				for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
					for framing, framed := range framedAnswers(way.route.Kind == fleet.RouteStream) {
						for _, bodyBytes := range answerBodies {
							answer := interim + "HTTP/1.1 " + status + " Trouble\r\n" + framed.fields + "\r\n" + framed.body
							got, runs := s.play(t, answer, bodyBytes)
							if wrong := way.judgeBroken(got, runs); wrong != "" || got.status != http.StatusBadGateway {
								t.Errorf("%q after %q, %s, %d bytes: %s: status %d, body %q, error %v, %d runs",
									status, interim, framing, bodyBytes, wrong, got.status, got.body, got.err, runs)
							}
						}
					}
				}
			}
		})
	}
}
