package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
)

const (
	// minRetryAfter is the least Retry-After value of a request that passed the quota and that no
	// endpoint has run.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the largest Retry-After value.
	maxRetryAfter = 5 * time.Second
)

// withJitter adds up to a quarter at random, so that refused callers do not retry at the same time.
// The result is at most maxRetryAfter.
func withJitter(d time.Duration) time.Duration {
	return min(d+time.Duration(rand.Float64()*float64(d)/4), maxRetryAfter)
}

// noRoom returns the error response to a request that no endpoint takes now. While all endpoints are closed for
// some time, or have a rejection limit and are full, a caller whose request has not run is told when they are expected to have
// room.
func (x *exchange) noRoom(now time.Time, reason Reason) *errorResponse {
	if !x.started {
		if returnIn, closed := x.proxy.Balancer.Opening(now, x.fleet); closed {
			return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonEndpointsClosed, max(returnIn, minRetryAfter))
		}
		if returnIn, full := x.proxy.Balancer.FullFor(now, x.fleet); full {
			return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonEndpointsFull, max(returnIn, minRetryAfter))
		}
	}
	return x.refusalOrFailure(reason, minRetryAfter)
}

// noRetry returns the error response to a request that may not be sent once more.
func (x *exchange) noRetry(now time.Time, obstacle retryObstacle) *errorResponse {
	e := x.noRoom(now, ReasonEndpointsRefused)
	e.noRetry = obstacle
	return e
}

// refusalOrFailure returns a refusal with the given reason, or a failure if the request may have
// run.
func (x *exchange) refusalOrFailure(reason Reason, retryAfter time.Duration) *errorResponse {
	if x.started {
		return newErrorResponse(fasthttp.StatusBadGateway, ReasonEndpointFailed, 0)
	}
	return newErrorResponse(fasthttp.StatusServiceUnavailable, reason, withJitter(max(retryAfter, minRetryAfter)))
}

// finalError returns the error response to a request that may not be sent again.
func (x *exchange) finalError(ctx context.Context) *errorResponse {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || x.deadline.Sub(clock.Now()) < minTimeLeft
	switch {
	case endedByStop(ctx):
		return x.stoppedError()
	case late && x.started:
		return newErrorResponse(fasthttp.StatusGatewayTimeout, ReasonTimeout, 0)
	case late:
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonNotSentInTime, minRetryAfter)
	}
	return x.refusalOrFailure(ReasonEndpointsRefused, minRetryAfter)
}

// sendFailure sends the error response, unless the caller has disconnected or has received part of
// a response.
func (x *exchange) sendFailure(ctx context.Context, e *errorResponse) {
	if callerHasLeft(ctx) {
		x.callerLeft()
		return
	}
	if x.headSent && x.continuation.isWhole() {
		x.endAsMarked()
		return
	}
	if x.headSent {
		x.abort()
		x.proxy.telemetry.StreamBroken(x, e)
		return
	}
	x.sendError(e)
}

// endAsMarked ends a stream where its endpoint has marked its end: no other endpoint could be asked whether more was to
// come.
func (x *exchange) endAsMarked() {
	if err := x.writeEnd(); err != nil {
		x.callerLeft()
		return
	}
	x.proxy.telemetry.EndedAsMarked(x)
}

// callerLeft stops serving a caller that has disconnected, and refunds its quota tokens if the
// request cannot have run.
func (x *exchange) callerLeft() {
	if !x.started {
		x.refundQuota()
	}
	x.abort()
	x.proxy.telemetry.CallerLeft(x)
}
