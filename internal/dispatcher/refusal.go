package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/outcome"
	"rattanchute/internal/route"
)

// Refusal is an error response that does not come from an endpoint.
type Refusal struct {
	Status int
	Detail outcome.Detail
}

// The delays after which callers are told to retry, for refusals that have no better estimate.
const (
	retryAfterNoEndpoint = 2 * time.Second
	retryAfterShutdown   = time.Second
	retryAfterFailure    = time.Second
	// minRetryAfter is the least delay while endpoints are closed, also if they open at this moment.
	minRetryAfter     = 100 * time.Millisecond
	retryAfterStreams = time.Second
)

// NewRefusal returns the refusal of a request that has not run.
func NewRefusal(status int, requestID, code, message string) *Refusal {
	return &Refusal{Status: status, Detail: outcome.Detail{
		Code:      code,
		Message:   message,
		Outcome:   outcome.NotRun,
		RequestID: requestID,
	}}
}

func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.Detail.RetryAfterMillis = d.Milliseconds()
	return r
}

func (r *Refusal) withField(name string) *Refusal {
	r.Detail.Field = name
	return r
}

func (r *Refusal) withOutcome(o outcome.Outcome) *Refusal {
	r.Detail.Outcome = o
	return r
}

// CodeShuttingDown is the code of the refusals of a daemon that stops.
const CodeShuttingDown = "shutting_down"

func refuseShuttingDown(requestID string) *Refusal {
	return NewRefusal(http.StatusServiceUnavailable, requestID, CodeShuttingDown,
		"this daemon takes no new requests").withRetryAfter(retryAfterShutdown)
}

func refuseStreams(requestID string) *Refusal {
	return NewRefusal(http.StatusServiceUnavailable, requestID, "too_many_streams",
		"this daemon has as many open streams as it may").withRetryAfter(retryAfterStreams)
}

// refuseRoute returns the refusal of a request for which the router has no endpoint.
func (s *Service) refuseRoute(requestID string, err error, q route.Query) *Refusal {
	if errors.Is(err, route.ErrNoSelector) {
		return NewRefusal(http.StatusForbidden, requestID, "no_selector",
			"no selector allows this organisation on the asked fleet")
	}
	if returnIn, closed := s.router.Opening(s.now(), q.Organisation, q.Fleet); closed {
		return NewRefusal(http.StatusServiceUnavailable, requestID, "endpoints_closed",
			"all endpoints are closed for some time").withRetryAfter(max(returnIn, minRetryAfter))
	}
	return NewRefusal(http.StatusServiceUnavailable, requestID, "no_endpoint",
		"no endpoint can take the request now").withRetryAfter(retryAfterNoEndpoint)
}
