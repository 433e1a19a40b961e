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
	presence, cause := x.proxy.crashes.Presence(a.ctx, a.choice.Endpoint.Address)
	if err := a.ctx.Err(); err != nil {
		return err
	}
	leaving := a.balancerAttempt.EndpointLeaves(clock.Now())
	a.presence, a.left = presence, presence == verify.Gone && leaving
	x.proxy.telemetry.EndChecked(a, leaving, cause)
	if !verify.DoubtsEnd(presence, leaving, x.mayRepeat()) {
		return nil
	}
	return errEndpointGone
}

// mayRepeat reports whether another attempt may follow the present one: a relayed request is repeated by its first host.
func (x *exchange) mayRepeat() bool {
	return x.route.Retryable() && (x.relayed != nil || x.sends+1 < x.route.MaxAttempts)
}

// endsWithConnection reports whether nothing but the end of its connection marks the end of a response of success. A
// peer marks the ends of the responses that it passes on.
func (a *attempt) endsWithConnection() bool {
	return a.peer == nil && a.framing == httpclient.FramingClose && a.status/100 == 2 && a.hasBody()
}

// hasBody reports whether the response may have a body.
func (a *attempt) hasBody() bool {
	return !a.exchange.request.Header.IsHead() && a.status != fasthttp.StatusNoContent
}
