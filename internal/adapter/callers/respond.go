package callers

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/dispatcher"
	"rattanchute/internal/outcome"
)

// writeRefusal writes an error response of this daemon, as opposed to one of an endpoint.
func writeRefusal(ctx *fasthttp.RequestCtx, r *dispatcher.Refusal) {
	d := r.Detail
	ctx.Response.Header.Set(outcome.HeaderRequestID, d.RequestID)
	ctx.Response.Header.Set(outcome.HeaderOutcome, string(d.Outcome))
	if d.RetryAfterMillis > 0 {
		wait := time.Duration(d.RetryAfterMillis) * time.Millisecond
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(outcome.RetryAfterSeconds(wait), 10))
	}
	if d.ResumeToken != "" {
		ctx.Response.Header.Set(outcome.HeaderResumeToken, d.ResumeToken)
	}
	if d.Code == dispatcher.CodeShuttingDown {
		// Another daemon serves the retry.
		ctx.SetConnectionClose()
	}
	writeJSON(ctx, r.Status, outcome.Error{Error: d})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// Structs of strings and numbers always encode.
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// The optional request headers of callers, and the maximum length of an idempotency key.
const (
	headerPriority         = "X-Priority"
	headerTimeout          = "X-Request-Timeout-Ms"
	headerIdempotencyKey   = "Idempotency-Key"
	headerLastEventID      = "Last-Event-Id"
	maxIdempotencyKeyBytes = 255
)

// requestOptions holds the values of the headers that every kind of request accepts.
type requestOptions struct {
	priority int
	timeout  time.Duration
}

func readOptions(ctx *fasthttp.RequestCtx, requestID string) (requestOptions, *dispatcher.Refusal) {
	options := requestOptions{priority: dispatcher.PriorityUnset}
	if v := ctx.Request.Header.Peek(headerPriority); len(v) > 0 {
		p, err := strconv.Atoi(string(v))
		if err != nil || p < 0 || p > 9 {
			return options, badField(requestID, headerPriority, "not a whole number from 0 to 9")
		}
		options.priority = p
	}
	if v := ctx.Request.Header.Peek(headerTimeout); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 32)
		if err != nil || ms <= 0 {
			return options, badField(requestID, headerTimeout, "not a positive number of milliseconds")
		}
		options.timeout = time.Duration(ms) * time.Millisecond
	}
	return options, nil
}

func badField(requestID, field, message string) *dispatcher.Refusal {
	r := dispatcher.NewRefusal(fasthttp.StatusBadRequest, requestID, "bad_request", message)
	r.Detail.Field = field
	return r
}
