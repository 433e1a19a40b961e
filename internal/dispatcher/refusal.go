package dispatcher

import (
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/outcome"
	"rattanchute/internal/route"
)

// Refusal is a final answer that is not an endpoint's.
type Refusal struct {
	Status int
	Detail outcome.Detail
}

// Waits told to callers where nothing better is known.
const (
	retryAfterNoEndpoint = 2 * time.Second
	retryAfterClosing    = time.Second
	retryAfterFailure    = time.Second
	retryAfterStreams    = time.Second
)

// NewRefusal returns a refusal of a request that was not run.
func NewRefusal(status int, requestID, code, message string) *Refusal {
	return &Refusal{Status: status, Detail: outcome.Detail{
		Code:      code,
		Message:   message,
		Outcome:   outcome.NotRun,
		RequestID: requestID,
	}}
}

func (r *Refusal) after(d time.Duration) *Refusal {
	r.Detail.RetryAfterMillis = d.Milliseconds()
	return r
}

func (r *Refusal) field(name string) *Refusal {
	r.Detail.Field = name
	return r
}

func (r *Refusal) with(o outcome.Outcome) *Refusal {
	r.Detail.Outcome = o
	return r
}

func refuseClosing(requestID string) *Refusal {
	return NewRefusal(http.StatusServiceUnavailable, requestID, "shutting_down",
		"this daemon takes no new requests").after(retryAfterClosing)
}

func refuseStreams(requestID string) *Refusal {
	return NewRefusal(http.StatusServiceUnavailable, requestID, "too_many_streams",
		"this daemon has as many open streams as it may").after(retryAfterStreams)
}

func refuseRoute(requestID string, err error) *Refusal {
	if errors.Is(err, route.ErrNoSelector) {
		return NewRefusal(http.StatusForbidden, requestID, "no_selector",
			"no selector allows this organisation on the asked fleet")
	}
	return NewRefusal(http.StatusServiceUnavailable, requestID, "no_endpoint",
		"no endpoint can take the request now").after(retryAfterNoEndpoint)
}
