package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/loadshed"
)

const (
	// maxUnreachable is the number of unreachable endpoints above which a request is sent to no
	// further one.
	maxUnreachable = 4
	// minTimeLeft is the least remaining time with which a request is still sent to an endpoint.
	minTimeLeft = 20 * time.Millisecond
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

// outcome is the outcome of one attempt.
type outcome int

const (
	// outcomeDone means that the caller has its response or has disconnected: nothing is left to do.
	outcomeDone outcome = iota
	// outcomeNotSent means that no byte of the request reached the endpoint.
	outcomeNotSent
	// outcomeWithdrawn means that nothing was sent, because the endpoint has begun to leave or has closed
	// itself since it was chosen.
	outcomeWithdrawn
	// outcomeNotExecuted means that the endpoint reported that it did not run the request.
	outcomeNotExecuted
	// outcomeFailed means that the request may have run and that the caller has no complete
	// response.
	outcomeFailed
)

// dispatch sends the request to endpoints, or passes it on to peers, until one answers it or it may not be sent
// again.
func (x *exchange) dispatch(ctx context.Context) {
	unreachable := 0
	for {
		a, e := x.nextAttempt(ctx, unreachable)
		if e != nil {
			x.sendFailure(ctx, e)
			return
		}
		out := x.run(a)
		if x.endsWith(ctx, a, out) {
			return
		}
		switch {
		case out != outcomeNotSent:
		case a.peer != nil:
			x.uselessPeers = append(x.uselessPeers, a.peer.Name)
		default:
			unreachable++
		}
		x.exclude(a, out)
	}
}

// endsWith answers the caller if no attempt may follow this one, and reports whether that is so.
func (x *exchange) endsWith(ctx context.Context, a *attempt, out outcome) bool {
	mayHaveReached := out == outcomeFailed || out == outcomeNotExecuted
	switch {
	case out == outcomeDone:
	case a.refusal != nil:
		x.sendFailure(ctx, a.refusal)
	case x.relayed != nil && mayHaveReached:
		x.endRelayed(a, out)
	case out == outcomeFailed && (!x.route.Retryable() || ctx.Err() != nil):
		x.sendFailure(ctx, x.finalError(ctx))
	default:
		return false
	}
	return true
}

// exclude keeps further attempts from the endpoint of this one. Peers are told only of endpoints that the request
// may have reached: they may reach the others.
func (x *exchange) exclude(a *attempt, out outcome) {
	id := a.choice.Endpoint.ID
	if id == "" {
		return
	}
	x.balancerRequest.Exclude = append(x.balancerRequest.Exclude, id)
	if out == outcomeFailed || out == outcomeNotExecuted {
		x.tried = append(x.tried, id)
	}
}

// nextAttempt chooses the next endpoint or peer, or returns the error response if there is none or the request
// may not be sent.
func (x *exchange) nextAttempt(ctx context.Context, unreachable int) (*attempt, *errorResponse) {
	now := clock.Now()
	left := x.deadline.Sub(now)
	if ctx.Err() != nil || left < minTimeLeft {
		return nil, x.finalError(ctx)
	}
	if e := x.recheckQuarantine(); e != nil {
		return nil, e
	}
	if x.sends >= x.route.MaxAttempts {
		return nil, x.noRoom(now, ReasonEndpointsRefused)
	}
	peer := x.pickPeer(now, unreachable, false)
	if peer == nil && unreachable > x.maxUnreachable() {
		return nil, x.refusalOrFailure(ReasonEndpointsUnreachable, minRetryAfter)
	}
	var choice balancer.Choice
	if peer == nil {
		var found bool
		choice, found = x.proxy.Balancer.Choose(now, rand.Uint64(), x.balancerRequest)
		if !found {
			peer = x.pickPeer(now, unreachable, true)
		}
		if !found && peer == nil {
			return nil, x.noRoom(now, ReasonNoEndpoint)
		}
	}
	if peer == nil && x.sends == 0 {
		if d := loadshed.Decide(x.loadshedRequest(left), estimate(&choice)); !d.Admit {
			e := x.refusalOrFailure(ReasonOverloaded, d.RetryAfter)
			e.estimate = &choice
			return nil, e
		}
	}
	if x.sends > 0 && x.relayed == nil && !x.proxy.RetryBudget.Allow(now, x.fleet) {
		return nil, x.noRoom(now, ReasonEndpointsRefused)
	}
	if peer != nil {
		return x.newPeerAttempt(ctx, peer), nil
	}
	return x.newAttempt(ctx, choice), nil
}

// maxUnreachable is the number of unreachable endpoints above which the request is sent to no further one. If
// this host reaches none of the fleet and no peer does, one try is enough.
func (x *exchange) maxUnreachable() int {
	switch {
	case x.proxy.Links.Table.Lost(x.fleet) && (x.relayed != nil || len(x.uselessPeers) > 0):
		return -1
	case x.proxy.Links.Table.Lost(x.fleet):
		return 0
	case x.relayed != nil:
		return maxUnreachableAlone
	}
	return maxUnreachable
}

// noRoom returns the error response to a request that no endpoint takes now. While all endpoints are
// closed for some time, or are brittle and full, a caller whose request has not run is told when they are expected to have room.
func (x *exchange) noRoom(now time.Time, reason Reason) *errorResponse {
	if !x.started {
		if returnIn, closed := x.proxy.Balancer.Opening(now, x.fleet); closed {
			return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonEndpointsClosed, max(returnIn, minRetryAfter))
		}
		if returnIn, _, crowded := x.proxy.Balancer.Crowded(now, x.fleet); crowded {
			return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonEndpointsFull, max(returnIn, minRetryAfter))
		}
	}
	return x.refusalOrFailure(reason, minRetryAfter)
}

// estimate returns what load shedding needs to know about the chosen endpoint.
func estimate(c *balancer.Choice) loadshed.Estimate {
	return loadshed.Estimate{
		FirstEvent: c.CorrectedFirstEvent,
		Backlog:    c.Backlog,
		Queued:     c.Queued,
		InFlight:   c.InFlight,
		Slots:      c.Endpoint.Slots,
	}
}

// loadshedRequest returns what load shedding needs to know about the request.
func (x *exchange) loadshedRequest(left time.Duration) loadshed.Request {
	return loadshed.Request{
		Rank:          x.table.Ranks().Rank(x.fleet, x.priority),
		LatencyTarget: x.route.LatencyTarget,
		Remaining:     left,
	}
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
	if errors.Is(ctx.Err(), context.Canceled) {
		x.callerLeft()
		return
	}
	if x.headSent {
		x.abort()
		x.proxy.telemetry.StreamBroken(x, e)
		return
	}
	x.sendError(e)
}

// newAttempt returns an attempt at an endpoint, which it counts there.
func (x *exchange) newAttempt(ctx context.Context, choice balancer.Choice) *attempt {
	now := clock.Now()
	a := &attempt{exchange: x, choice: choice, ctx: ctx, sentAt: now}
	a.balancerAttempt = x.proxy.Balancer.Begin(now, x.balancerRequest, choice)
	x.recordPrefill(now, choice.Endpoint.ID)
	return a
}

// run makes an attempt and records its end.
func (x *exchange) run(a *attempt) outcome {
	p := x.proxy
	if x.sends == 0 && x.relayed == nil {
		p.RetryBudget.RecordRequest(a.sentAt, x.fleet)
	}
	p.telemetry.Sent(x, a)
	out, result := a.run()
	if a.peer == nil {
		a.observeCrash(out, result)
	}
	p.telemetry.HealthChanged(a.choice.Endpoint.ID, a.balancerAttempt.End(clock.Now(), result))
	if out != outcomeNotSent && out != outcomeWithdrawn {
		x.sends++
	}
	if out == outcomeFailed {
		x.markUnanswered(clock.Now())
	}
	p.telemetry.Attempted(x, a, out, result)
	return out
}

// recordPrefill records, for the peers, which endpoint is sent the parts of the prompt that other
// requests may share. The last part, which no other request shares, is left out.
func (x *exchange) recordPrefill(now time.Time, endpoint string) {
	if shared := len(x.balancerRequest.Prefixes) - 1; shared > 0 {
		prefill := balancer.Prefill{Fleet: x.fleet, Endpoint: endpoint, Prefixes: x.balancerRequest.Prefixes[:shared]}
		x.proxy.prefills.add(now, prefill, true)
	}
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
