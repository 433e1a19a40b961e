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
