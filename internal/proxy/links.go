package proxy

import (
	"errors"
	"syscall"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/reachability"
)

// Links tell what attempts show of the links to endpoints.
type Links struct {
	Table *reachability.Table
	// Up is called when an endpoint of a fleet was heard, and Failed when one could not be reached.
	Up     func(fleet string)
	Failed func(fleet, endpoint string)
}

// beginWait records that the attempt waits for its endpoint.
func (a *attempt) beginWait() *reachability.Wait {
	x := a.exchange
	return x.proxy.Links.Table.Begin(clock.Now(), x.fleet, a.choice.Endpoint.ID)
}

// heard records that the endpoint sent something.
func (a *attempt) heard() { a.exchange.proxy.Links.Up(a.exchange.fleet) }

// observeLink records what the end of the attempt says about the link to its endpoint.
func (a *attempt) observeLink(result balancer.Result) {
	if result == balancer.ResultUnreachable || errors.Is(a.err, syscall.ETIMEDOUT) {
		a.exchange.proxy.Links.Failed(a.exchange.fleet, a.choice.Endpoint.ID)
	}
}
