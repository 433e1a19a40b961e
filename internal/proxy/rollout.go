package proxy

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/rollout"
)

// chooseEndpoint chooses an endpoint of a version that may get the request. A canary request whose endpoint is busy, or
// that would be refused there, goes to another version: callers do not pay for a roll-out.
func (x *exchange) chooseEndpoint(now time.Time) (balancer.Choice, bool) {
	p := x.proxy
	if p.Rollouts == nil {
		return p.Balancer.Choose(now, rand.Uint64(), x.balancerRequest)
	}
	c := p.Rollouts.Choose(now, rollout.Request{
		Fleet: x.fleet, Route: x.route.Name, Pinned: x.balancerRequest.Version, Random: rand.Float64(),
	})
	x.balancerRequest.Permitted = c.Permitted
	choice, found := p.Balancer.Choose(now, rand.Uint64(), x.balancerRequest)
	if !c.Canary || found && !choice.Queued && x.shed(now, &choice) == nil {
		return choice, found
	}
	p.Rollouts.Refund(x.fleet)
	x.balancerRequest.Permitted = c.Fallback
	return p.Balancer.Choose(now, rand.Uint64(), x.balancerRequest)
}

// permitVersion reports, immediately before the request is sent, whether the endpoint's version may get it, and counts
// it there.
func (a *attempt) permitVersion() error {
	x := a.exchange
	if x.proxy.Rollouts == nil {
		return nil
	}
	now := clock.Now()
	if a.ticket != nil {
		return a.ticket.Still(now)
	}
	ticket, err := x.proxy.Rollouts.Begin(now, x.fleet, x.route.Name, &a.choice.Endpoint.Endpoint, x.sends == 0)
	a.ticket = ticket
	return err
}

// endRollout records what the end of the attempt tells about the endpoint's version.
func (a *attempt) endRollout(out outcome, result balancer.Result) {
	if a.ticket == nil {
		return
	}
	now := clock.Now()
	if a.ticket.End(now, a.versionResult(now, out, result)) && a.exchange.proxy.OnRollout != nil {
		a.exchange.proxy.OnRollout()
	}
}

// versionResult returns what the attempt tells about the endpoint's version. A connection that could not be made and a
// refusal tell nothing.
func (a *attempt) versionResult(now time.Time, out outcome, result balancer.Result) rollout.Result {
	r := rollout.Result{First: now.Sub(a.sentAt)}
	if !a.firstEventAt.IsZero() {
		r.First = a.firstEventAt.Sub(a.sentAt)
	}
	r.First = time.Duration(float64(r.First) / a.choice.RelativeWork())
	if a.events > 2 && a.lastEventAt.After(a.firstEventAt) {
		r.Pace = a.lastEventAt.Sub(a.firstEventAt) / time.Duration(a.events-1)
	}
	switch result {
	case balancer.ResultOK:
		r.Evidence = true
	case balancer.ResultCancelled:
		r.Evidence, r.Unfinished = true, true
	case balancer.ResultError:
		r.Evidence, r.Failed = true, true
	case balancer.ResultFailed:
		r.Evidence, r.Failed, r.Cut = true, !a.terminated, a.terminated
	}
	return r
}
