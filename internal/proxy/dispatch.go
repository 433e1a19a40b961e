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
	// maxUnreachable is how many endpoints that cannot be reached are tried for a request.
	maxUnreachable = 4
	// minLeft is the time below which no endpoint is asked any more.
	minLeft = 20 * time.Millisecond
	// freeRetryAfter is when to come back if no endpoint took the request.
	freeRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds what a refused caller is told.
	maxRetryAfter = 5 * time.Second
)

// spread adds up to a quarter, so that refused callers do not come back together.
func spread(d time.Duration) time.Duration {
	return min(d+time.Duration(rand.Float64()*float64(d)/4), maxRetryAfter)
}

// outcome is how one attempt went.
type outcome int

const (
	// outcomeDone: the caller has its answer, or has left.
	outcomeDone outcome = iota
	// outcomeNotSent: no byte of the request reached the endpoint.
	outcomeNotSent
	// outcomeNotExecuted: the endpoint says that it did not run the request.
	outcomeNotExecuted
	// outcomeFailed: the request may have run and has no complete answer.
	outcomeFailed
)

// dispatch sends the request until it is answered or may not be sent again.
func (x *exchange) dispatch(ctx context.Context) {
	unreachable := 0
	for {
		choice, v := x.choose(ctx, unreachable)
		if v != nil {
			x.giveUp(ctx, v)
			return
		}
		switch x.attempt(ctx, choice) {
		case outcomeDone:
			return
		case outcomeNotSent:
			unreachable++
		case outcomeFailed:
			if !x.route.Retryable() || ctx.Err() != nil {
				x.giveUp(ctx, x.failure(ctx))
				return
			}
		case outcomeNotExecuted:
		}
		x.placing.Exclude = append(x.placing.Exclude, choice.Endpoint.ID)
	}
}

// choose finds the next endpoint, or says why there is none.
func (x *exchange) choose(ctx context.Context, unreachable int) (balancer.Choice, *verdict) {
	now := clock.Now()
	left := x.deadline.Sub(now)
	if ctx.Err() != nil || left < minLeft {
		return balancer.Choice{}, x.failure(ctx)
	}
	if unreachable > maxUnreachable {
		return balancer.Choice{}, x.notRun(ReasonEndpointsUnreachable, freeRetryAfter)
	}
	if x.sends >= x.route.MaxAttempts {
		return balancer.Choice{}, x.notRun(ReasonEndpointsRefused, freeRetryAfter)
	}
	choice, ok := x.proxy.Balancer.Choose(now, rand.Uint64(), x.placing)
	if !ok {
		return choice, x.notRun(ReasonNoEndpoint, freeRetryAfter)
	}
	if x.sends == 0 {
		if d := loadshed.Decide(x.wanted(left), offer(&choice)); !d.Admit {
			v := x.notRun(ReasonOverloaded, d.RetryAfter)
			v.offer = &choice
			return choice, v
		}
	}
	if x.sends > 0 && !x.proxy.RetryBudget.Allow(now, x.fleet) {
		return choice, x.notRun(ReasonEndpointsRefused, freeRetryAfter)
	}
	return choice, nil
}

// offer is how the chosen endpoint is expected to answer.
func offer(c *balancer.Choice) loadshed.Estimate {
	return loadshed.Estimate{FirstEvent: c.CorrectedFirstEvent, Queued: c.Queued, InFlight: c.InFlight, Slots: c.Endpoint.Slots}
}

// wanted is what the admission of the request depends on.
func (x *exchange) wanted(left time.Duration) loadshed.Request {
	return loadshed.Request{Rank: x.table.Ranks().Rank(x.fleet, x.priority), LatencyTarget: x.route.LatencyTarget, Remaining: left}
}

// notRun is a refusal, unless the request may have run.
func (x *exchange) notRun(reason Reason, retryAfter time.Duration) *verdict {
	if x.began {
		return refuse(fasthttp.StatusBadGateway, ReasonEndpointFailed, 0)
	}
	return refuse(fasthttp.StatusServiceUnavailable, reason, spread(max(retryAfter, freeRetryAfter)))
}

// failure says how a request ended that may not be sent again.
func (x *exchange) failure(ctx context.Context) *verdict {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || x.deadline.Sub(clock.Now()) < minLeft
	switch {
	case late && x.began:
		return refuse(fasthttp.StatusGatewayTimeout, ReasonTimeout, 0)
	case late:
		return refuse(fasthttp.StatusServiceUnavailable, ReasonNotSentInTime, freeRetryAfter)
	}
	return x.notRun(ReasonEndpointsRefused, freeRetryAfter)
}

// giveUp tells the caller, unless it has left or has a part of an answer already.
func (x *exchange) giveUp(ctx context.Context, v *verdict) {
	if errors.Is(ctx.Err(), context.Canceled) {
		x.left()
		return
	}
	if x.headSent {
		x.cut()
		x.proxy.events.StreamBroken(x, v)
		return
	}
	x.answer(v)
}

// attempt sends the request to one endpoint and relays its answer.
func (x *exchange) attempt(ctx context.Context, choice balancer.Choice) outcome {
	now := clock.Now()
	g := x.proxy
	if x.sends == 0 {
		g.RetryBudget.RecordRequest(now, x.fleet)
	}
	a := &attempt{exchange: x, choice: choice, ctx: ctx, sentAt: now}
	a.placed = g.Balancer.Begin(now, x.placing, choice)
	x.noteRead(now, choice.Endpoint.ID)
	g.events.Sent(x, &choice)
	out, result := a.run()
	g.events.HealthChanged(choice.Endpoint.ID, a.placed.End(clock.Now(), result))
	if out != outcomeNotSent {
		x.sends++
	}
	if out == outcomeFailed {
		x.begin(clock.Now())
	}
	g.events.Attempted(x, a, out, result)
	return out
}

// noteRead has the peers told which endpoint reads the parts that other requests share.
func (x *exchange) noteRead(now time.Time, endpoint string) {
	if shared := len(x.placing.Prefixes) - 1; shared > 0 {
		read := balancer.Prefill{Fleet: x.fleet, Endpoint: endpoint, Prefixes: x.placing.Prefixes[:shared]}
		x.proxy.reads.add(now, read, true)
	}
}

// left ends the work for a caller that has gone.
func (x *exchange) left() {
	if !x.began {
		x.giveBack()
	}
	x.cut()
	x.proxy.events.CallerLeft(x)
}
