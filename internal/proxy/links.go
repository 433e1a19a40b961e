package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/reachability"
)

// Links tell what attempts show of the links to endpoints.
type Links struct {
	Table *reachability.Table
	// Up is called when bytes of a response of a fleet have arrived on a connection that was opened at a time, and
	// Failed when an endpoint was not reached.
	Up     func(now time.Time, fleet string, openedAt time.Time)
	Failed func(fleet string, f reachability.Failure)
}

// errTakenBack means that a request was taken back because its fleet is out of reach.
var errTakenBack = errors.New("taken back: nothing arrives from the fleet")

// beginWait records that the attempt waits for its endpoint, and returns the context that ends when it is taken
// back.
func (a *attempt) beginWait() (*reachability.Wait, context.Context) {
	x := a.exchange
	ctx, takeBack := context.WithCancelCause(a.ctx)
	r := reachability.Request{
		Fleet: x.fleet, Endpoint: a.choice.Endpoint.ID, Expected: a.choice.CorrectedFirstEvent,
		Repeatable: x.relayed == nil && x.mayRepeat(), Reserve: x.reserveRetry,
	}
	return x.proxy.Links.Table.Begin(clock.Now(), r, func() { takeBack(errTakenBack) }), ctx
}

// reserveRetry takes a further attempt from the retry budget, and reports whether it is there.
func (x *exchange) reserveRetry() bool {
	if !x.proxy.RetryBudget.Allow(clock.Now(), x.fleet) {
		return false
	}
	x.retryReserved.Store(true)
	return true
}

// mayRetry reports whether the retry budget allows a further attempt, which may have been reserved. Attempts that reached no
// endpoint cost nothing more.
func (x *exchange) mayRetry(now time.Time) bool {
	if x.allowedRetry == x.sends {
		return true
	}
	if !x.retryReserved.Swap(false) && !x.proxy.RetryBudget.Allow(now, x.fleet) {
		return false
	}
	x.allowedRetry = x.sends
	return true
}

// connected records on which connection the attempt is sent.
func (a *attempt) connected(c httpclient.ConnInfo) {
	a.connNew, a.connOpenedAt = c.New, clock.Now().Add(-c.Age)
}

// heard records that the endpoint sent something.
func (a *attempt) heard() {
	now := clock.Now()
	a.wait.Heard(now)
	a.exchange.proxy.Links.Up(now, a.exchange.fleet, a.connOpenedAt)
}

// observeLink records what the end of the attempt says about the link to its endpoint.
func (a *attempt) observeLink(result balancer.Result) {
	f := reachability.Failure{Endpoint: a.choice.Endpoint.ID, New: true}
	switch {
	case result == balancer.ResultUnreachable && errors.Is(a.err, syscall.ECONNREFUSED):
		f.Kind = reachability.Refused
	case result == balancer.ResultUnreachable:
		f.Kind = reachability.Unopened
	case errors.Is(a.err, syscall.ETIMEDOUT):
		f.Kind, f.New = reachability.Silent, a.connNew
	case a.status == 0 && httpclient.IsTerminated(a.err):
		f.Kind, f.New = reachability.Ended, a.connNew
	default:
		return
	}
	a.exchange.proxy.Links.Failed(a.exchange.fleet, f)
}
