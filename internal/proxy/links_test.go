package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/reachability"
	"rattanchute/internal/retrybudget"
)

// TestSilentRequestIsTakenBack has a request wait at a silent endpoint when its fleet goes out of reach. If it may be
// repeated, a peer gets it, and else its caller is told at once that it may have run.
func TestSilentRequestIsTakenBack(t *testing.T) {
	for _, c := range []struct {
		kind   fleet.RouteKind
		status int
		sent   int
	}{
		{fleet.RouteIdempotent, http.StatusOK, 1},
		{fleet.RouteNonIdempotent, http.StatusBadGateway, 0},
	} {
		is := is.New(t)
		arrived, ended := make(chan struct{}), make(chan struct{})
		silent := newTestEndpoint(t, func(r *receivedRequest) bool {
			close(arrived)
			_, _ = r.conn.Read(make([]byte, 1)) // returns when the connection is closed
			close(ended)
			return false
		})
		route := fleet.Route{Kind: c.kind, MaxAttempts: 2}
		other := newTestEndpoint(t, answerFine)
		first, second := newTestProxy(t, route, silent), newTestProxy(t, route, silent, other)
		first.relayTo(second.listenRelay(t, anyIP))
		links := reachability.NewTable() // nothing is known of the links yet
		first.proxy.Links.Table = links
		response := make(chan callerResponse, 1)
		go func() { response <- first.send(t, "a1") }()
		<-arrived
		first.lose()
		late := clock.Now().Add(time.Second)
		check := links.Check(late, 0, func(string) []reachability.Endpoint { return nil })
		is.Equal(len(check.TakeBack), 1)
		check.TakeBack[0]()
		r := <-response
		is.Equal(r.status, c.status)
		<-ended // the endpoint drops it
		is.Equal(len(other.receivedRequests()), c.sent)
	}
}

// TestConnectionThatEndsWithoutAResponseIsEvidence has endpoints close connections without a byte of a response, and
// after a part of one.
func TestConnectionThatEndsWithoutAResponseIsEvidence(t *testing.T) {
	for _, c := range []struct {
		text     string
		failures int
	}{
		{"", 1},
		{"HTTP/1.1 200 OK\r\nId: a1\r\nContent-Length: 10\r\n\r\nfine", 0},
	} {
		is := is.New(t)
		endpoint := newTestEndpoint(t, func(r *receivedRequest) bool {
			r.writeRaw("%s", c.text)
			return false
		})
		p := newTestProxy(t, fleet.Route{Kind: fleet.RouteNonIdempotent}, endpoint)
		var failures []reachability.Failure
		p.proxy.Links.Failed = func(_ string, f reachability.Failure) { failures = append(failures, f) }
		is.Equal(p.send(t, "a1").status, http.StatusBadGateway)
		is.Equal(len(failures), c.failures)
		if c.failures > 0 {
			is.Equal(failures[0].Kind, reachability.Ended)
			is.True(failures[0].New)
		}
	}
}

// TestPeersThatCannotSendCostNoRetryBudget asks three times for the one further attempt that the budget has.
func TestPeersThatCannotSendCostNoRetryBudget(t *testing.T) {
	is := is.New(t)
	x := &exchange{fleet: testFleet, proxy: &Proxy{Dependencies: Dependencies{RetryBudget: retrybudget.NewBudget(retrybudget.Limits{Slack: 2, Window: time.Minute})}}}
	x.sends = 1
	for range 3 {
		is.True(x.mayRetry(clock.Now()))
	}
	x.sends = 2
	is.True(!x.mayRetry(clock.Now()))
}
