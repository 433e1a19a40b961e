package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/dispatcher"
	"rattanchute/internal/outcome"
)

func (s *site) call(method, path, key string) (dispatcher.CallResponse, *dispatcher.Refusal) {
	return s.service.Call(context.Background(), dispatcher.CallRequest{
		RequestID: "r", Organisation: "o", Method: method, Path: path, URI: path, Body: []byte("body"),
		IdempotencyKey: key, Priority: dispatcher.PriorityUnset,
	})
}

// cutResponse is a response without a length, of which only a part of the body is written; leavingResponse is one of
// an endpoint that leaves.
const (
	cutResponse     = "HTTP/1.1 200 OK\r\n\r\nthe wh"
	leavingResponse = "HTTP/1.1 200 OK\r\n" + enginehttp.HeaderLeaving + ": true\r\n\r\nthe wh"
)

// killDelays are how much later than the connection the listener of a killed process closes.
var killDelays = []time.Duration{0, 2 * time.Millisecond}

func TestCallWithoutLengthOfAKilledEndpointIsNotPassedOnAsWhole(t *testing.T) {
	for _, delay := range killDelays {
		for _, key := range []string{"", "key"} {
			t.Run(fmt.Sprintf("%v/key %q", delay, key), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, partly(cutResponse), delay)
				_, refusal := s.call(http.MethodPost, onceCall, key)
				is.True(refusal != nil)
				is.Equal(refusal.Status, http.StatusBadGateway)
				is.Equal(refusal.Detail.Outcome, outcome.Unknown)
				is.Equal(s.runCount(), 1)
				completed, withdrawn := s.claims.counts()
				is.Equal(completed+withdrawn, 0)
			})
		}
	}
}

func TestCallWithoutLengthOfAKilledEndpointIsRetriedElsewhere(t *testing.T) {
	for _, raw := range []string{cutResponse, leavingResponse} {
		is := is.New(t)
		s := newSite(t, partly(raw), 0)
		response, refusal := s.call(http.MethodPost, repeatCall, "")
		is.True(refusal == nil)
		is.Equal(string(response.Body), wholeBody)
		is.Equal(s.runCount(), 2)
	}
}

func TestCallWithoutLengthOfAnEndpointThatIsThereIsWhole(t *testing.T) {
	is := is.New(t)
	response, refusal := newSite(t, partly(cutResponse), survives).call(http.MethodPost, onceCall, "")
	is.True(refusal == nil)
	is.Equal(string(response.Body), "the wh")
}

func TestLastCallOfALeavingEndpointThatMayNotBeRepeatedIsWhole(t *testing.T) {
	is := is.New(t)
	response, refusal := newSite(t, partly(leavingResponse), 0).call(http.MethodPost, onceCall, "")
	is.True(refusal == nil)
	is.Equal(string(response.Body), "the wh")
}

func TestResponseThatHasNoBodyIsWholeIfItsEndpointIsGone(t *testing.T) {
	for _, c := range []struct{ method, status string }{
		{http.MethodHead, "200 OK"}, {http.MethodPost, "204 No Content"}, {http.MethodPost, "304 Not Modified"},
	} {
		t.Run(c.method+" "+c.status, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, partly("HTTP/1.1 "+c.status+"\r\n\r\n"), 0)
			_, refusal := s.call(c.method, onceCall, "")
			is.True(refusal == nil)
			is.Equal(s.runCount(), 1)
		})
	}
}
