package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/loadshed"
	"rattanchute/internal/relay"
	"rattanchute/internal/rollout"
)

const (
	// maxUnreachable is the number of unreachable endpoints above which a request is sent to no
	// further one.
	maxUnreachable = 4
	// minTimeLeft is the least remaining time with which a request is still sent to an endpoint.
	minTimeLeft = 20 * time.Millisecond
)

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

// dispatch sends the request to endpoints, or relays it to peers, until one answers it or it may not be sent
// again.
func (x *exchange) dispatch(ctx context.Context) {
	unreachable := 0
	x.beginContinuation()
	x.proxy.Links.Table.Want(clock.Now(), x.fleet)
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
			x.failedPeers = append(x.failedPeers, a.peer.Name)
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
	case out == outcomeFailed && !x.continuation.mayContinue():
		x.sendFailure(ctx, newErrorResponse(fasthttp.StatusBadGateway, ReasonStreamWithoutNumbers, 0))
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
	if ctx.Err() != nil || x.deadline.Sub(now) < minTimeLeft {
		return nil, x.finalError(ctx)
	}
	if e := x.recheckQuarantine(); e != nil {
		return nil, e
	}
	if x.sends >= x.route.MaxAttempts {
		return nil, x.noRetry(now, obstacleMaxAttempts)
	}
	choice, peer, e := x.chooseTarget(now, unreachable)
	if e != nil {
		return nil, e
	}
	if x.sends > 0 && x.relayed == nil && !x.mayRetry(now) {
		return nil, x.noRetry(now, obstacleRetryBudget)
	}
	if peer != nil {
		return x.newPeerAttempt(ctx, peer), nil
	}
	return x.newAttempt(ctx, choice), nil
}

// chooseTarget chooses an endpoint or, where this host cannot send to one, a peer. Load shedding applies until an
// attempt may have reached an endpoint; the peer applies it to what it gets.
func (x *exchange) chooseTarget(now time.Time, unreachable int) (balancer.Choice, *relay.Peer, *errorResponse) {
	if peer := x.pickPeer(now, unreachable, false); peer != nil {
		return balancer.Choice{}, peer, nil
	}
	if unreachable > x.maxUnreachable() {
		return balancer.Choice{}, nil, x.refusalOrFailure(ReasonEndpointsUnreachable, minRetryAfter)
	}
	choice, found := x.chooseEndpoint(now)
	if found {
		return choice, nil, x.shed(now, &choice)
	}
	if peer := x.pickPeer(now, unreachable, true); peer != nil {
		return balancer.Choice{}, peer, nil
	}
	return balancer.Choice{}, nil, x.noRoom(now, ReasonNoEndpoint)
}

// shed returns the refusal of a request that would wait too long at its endpoint; nil if it is sent there.
func (x *exchange) shed(now time.Time, choice *balancer.Choice) *errorResponse {
	if x.sends > 0 {
		return nil
	}
	if e := x.shedLimited(choice); e != nil {
		return e
	}
	d := loadshed.Decide(x.loadshedRequest(x.deadline.Sub(now)), estimate(choice))
	if d.Admit {
		return nil
	}
	e := x.refusalOrFailure(ReasonOverloaded, d.RetryAfter)
	e.estimate = choice
	return e
}

// maxUnreachable is the number of unreachable endpoints above which the request is sent to no further one. If
// this host reaches none of the fleet and no peer does, one try is enough, if it costs nothing.
func (x *exchange) maxUnreachable() int {
	links := x.proxy.Links.Table
	lost := links.Lost(x.fleet)
	switch {
	case lost && (x.relayed != nil || len(x.failedPeers) > 0 || !links.FailsAtOnce(x.fleet)):
		return -1
	case lost:
		return 0
	case x.relayed != nil:
		return maxUnreachableAlone
	}
	return maxUnreachable
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
	// Has an effect only after a panic: nothing stays counted at the endpoint.
	defer func() {
		a.balancerAttempt.End(clock.Now(), balancer.ResultCancelled)
		a.ticket.End(clock.Now(), rollout.Result{})
	}()
	out, result := a.run()
	if a.peer == nil {
		a.observeCrash(out, result)
	}
	a.endRollout(out, result)
	x.recordServed(clock.Now(), a, result)
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
