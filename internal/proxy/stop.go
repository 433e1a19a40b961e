package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
)

// Stop says how a server stops. Instants are on the clock of package clock.
type Stop struct {
	// Late is when the load balancer should send no more connections. A caller's request that has been read by then
	// is served. A later one, on a connection that is still open, is served only if its deadline is not after End.
	Late time.Time
	// End is when the requests in progress end: those without a response get an error response, and streams break
	// off.
	End time.Time
}

// admits reports whether a request that is read at an instant is served, given its deadline.
func (s Stop) admits(now, deadline time.Time) bool {
	return now.Before(s.Late) || !deadline.After(s.End)
}

// ReasonStopping means that the host stops before the request could have ended. With status 503 the request has
// not run; with 502 it may have.
const ReasonStopping Reason = "stopping"

const (
	// stoppingRetryAfter is short: the load balancer sends the retry to another host.
	stoppingRetryAfter = 50 * time.Millisecond
	// lastAnswerTimeout bounds the wait for the error responses at the end of a stop. A request whose connection to its
	// endpoint is being opened gets one when that has failed.
	lastAnswerTimeout = 450 * time.Millisecond
)

// errStopped is the cause of the end of requests that are in progress at the end of a stop.
var errStopped = errors.New("host has stopped")

// endedByStop reports whether a request's context ended because the host stops.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// callerHasLeft reports whether a request's context ended because its caller has disconnected.
func callerHasLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !endedByStop(ctx)
}

// checkStop refuses a request that is read late in a stop and may last longer than the stop.
func (x *exchange) checkStop() *errorResponse {
	stop := x.conn.server.stop.Load()
	if stop == nil || stop.admits(clock.Now(), x.deadline) {
		return nil
	}
	return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonStopping, stoppingRetryAfter)
}

// stoppedError returns the error response to a request without a response at the end of a stop.
func (x *exchange) stoppedError() *errorResponse {
	if x.started {
		return newErrorResponse(fasthttp.StatusBadGateway, ReasonStopping, 0)
	}
	return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonStopping, stoppingRetryAfter)
}

// announceClose makes the response, whose head is about to be written, the last on its connection if the host stops and
// the caller has not sent another request yet.
func (x *exchange) announceClose(h *fasthttp.ResponseHeader) {
	stops := x.conn.server.isStopping() || x.conn.isClosing()
	x.close = x.close || stops && !x.nextArrived()
	if x.close {
		h.SetConnectionClose()
	}
}

// nextArrived reports whether bytes of the connection's next request have arrived.
func (x *exchange) nextArrived() bool { return x.watch != nil && x.watch.nextArrived.Load() }
