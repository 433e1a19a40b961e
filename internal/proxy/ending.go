package proxy

import (
	"errors"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
	"rattanchute/internal/quarantine/verify"
)

// errEndpointGone means that a response that ended with its connection may have been cut off: its endpoint was gone
// right then.
var errEndpointGone = errors.New("endpoint gone at the end of a response without a length")

// checkEnd returns an error if a response that ended with its connection counts as cut off. The end of one with
// another framing shows by itself that it is whole.
func (a *attempt) checkEnd() error {
	if !a.endsWithConnection() {
		return nil
	}
	x := a.exchange
	a.presence = x.proxy.crashes.Presence(a.ctx, a.choice.Endpoint.Address)
	leaving := a.balancerAttempt.EndpointLeaves(clock.Now())
	x.proxy.telemetry.EndChecked(a, leaving)
	if !verify.DoubtsEnd(a.presence, leaving, x.route.Retryable()) {
		return nil
	}
	return errEndpointGone
}

// endsWithConnection reports whether nothing but the end of its connection marks the end of the response. A peer
// marks the ends of the responses that it passes on.
func (a *attempt) endsWithConnection() bool {
	return a.peer == nil && a.framing == httpclient.FramingClose && a.hasBody()
}

// hasBody reports whether the response may have a body.
func (a *attempt) hasBody() bool {
	isHead := a.exchange.request.Header.IsHead()
	return !isHead && a.status != fasthttp.StatusNoContent && a.status != fasthttp.StatusNotModified
}
