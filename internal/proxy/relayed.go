package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/relay"
)

// ReasonUnrelayable means that a peer relayed a request that this host cannot take.
const ReasonUnrelayable Reason = "unrelayable"

// maxRelayed bounds the relayed requests that are served at the same time, so that those of this host's own
// callers find room.
const maxRelayed = 256

// peerRefusals are the reasons of refusals that concern this host alone: another peer may still send the request.
var peerRefusals = []Reason{
	ReasonStarting, ReasonConfigurationUnconfirmed, ReasonOutOfMemory, ReasonEndpointsUnreachable, ReasonNoRoute,
	ReasonUnknownKey, ReasonMalformed, ReasonUnrelayable, ReasonNoEndpoint, ReasonEndpointsFull, ReasonStopping,
	ReasonBodyGivenUp, ReasonBodyTooLarge, ReasonHeaderTooLarge, ReasonRequestTooSlow,
}

// takeRelayed reads what the first host has decided about a relayed request. Its header goes no further.
func (x *exchange) takeRelayed() error {
	r, err := relay.DecodeRequest(x.request.Header.Peek(relay.Header))
	if err != nil {
		return err
	}
	x.request.Header.Del(relay.Header)
	if r.Connection != "" {
		x.request.Header.Set(fasthttp.HeaderConnection, r.Connection)
	}
	x.relayed = &r
	return nil
}

// admitRelayed is admit for a request of which a peer has checked and counted what concerns its caller. The key
// and the route are checked again: a peer is given no rights that its caller lacks.
func (x *exchange) admitRelayed() *errorResponse {
	return firstError(x.readInfo, x.findRoute, x.checkKey, x.prepareRelayed, x.checkStop, x.checkRelayedQuarantine)
}

// prepareRelayed is prepare with what the first host has decided.
func (x *exchange) prepareRelayed() *errorResponse {
	r := x.relayed
	leadsThere := slices.ContainsFunc(x.route.Split, func(w fleet.WeightedFleet) bool { return w.Fleet == r.Fleet })
	if !leadsThere || r.TimeoutMillis <= 0 {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonUnrelayable, minRetryAfter)
	}
	x.origin.Fleet, x.origin.Version = r.Fleet, r.Version
	x.info.LastEventID = r.LastEventID
	if e := x.prepare(); e != nil {
		return e
	}
	x.deadline = x.arrived.Add(min(time.Duration(r.TimeoutMillis)*time.Millisecond, maxRelayedTimeout))
	x.sends = max(r.Sends, 0)
	x.balancerRequest.Exclude = slices.Clone(r.Exclude)
	return nil
}

// maxRelayedTimeout bounds the time that a peer may state.
const maxRelayedTimeout = 10 * time.Minute

// checkRelayedQuarantine is checkQuarantine without probes, which the first host may send.
func (x *exchange) checkRelayedQuarantine() *errorResponse {
	return x.quarantineError(x.quarantineVerdict(nil))
}

// endRelayed tells the first host what has become of a relayed request that its endpoint did not answer.
func (x *exchange) endRelayed(a *attempt, out outcome) {
	if x.headSent {
		x.abort()
		return
	}
	r := relay.Response{Result: relay.Rejected, Endpoint: a.choice.Endpoint.ID}
	if out == outcomeFailed {
		r.Result, r.Reason = relay.Failed, string(ReasonEndpointFailed)
	}
	x.sendRelayResult(r)
}

// relayRefusal returns what a refusal of a relayed request tells the first host.
func (x *exchange) relayRefusal(e *errorResponse) relay.Response {
	r := relay.Response{Result: relay.NotRun, Reason: string(e.reason), RetryAfterMillis: e.retryAfter.Milliseconds()}
	switch {
	case x.started:
		r.Result = relay.Failed
	case slices.Contains(peerRefusals, e.reason):
		r.Result = relay.NotSent
	}
	return r
}

// sendRelayResult sends a response without a body that says what has become of a relayed request.
func (x *exchange) sendRelayResult(r relay.Response) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	x.proxy.HeaderCodec.EncodeRefusal(&resp.Header, x.info.ID)
	resp.Header.Set(relay.Header, relay.Encode(r))
	x.sendResponse(resp)
}

// markAnswered adds, to the header of a response to a relayed request, the endpoint that has answered.
func (a *attempt) markAnswered(h *fasthttp.ResponseHeader) {
	h.Del(relay.Header)
	if a.exchange.relayed == nil {
		return
	}
	e := &a.choice.Endpoint
	h.Set(relay.Header, relay.Encode(relay.Response{Result: relay.Answered, Endpoint: e.ID, Version: e.Version}))
}

// serveRelayed answers a request that a peer has relayed. The context ends when the peer disconnects.
func (x *exchange) serveRelayed(ctx context.Context) {
	p := x.proxy
	defer p.relayed.Add(-1)
	if p.relayed.Add(1) > maxRelayed {
		x.sendError(newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonOutOfMemory, startingRetryAfter))
		return
	}
	switch {
	case x.relayed.Test != "":
		x.testRelayed()
		return
	case x.relayed.AsksHeard:
		x.tellHeard()
		return
	}
	x.serve(ctx)
}

// testRelayed answers a test: whether an endpoint accepts a connection of this host.
func (x *exchange) testRelayed() {
	result := relay.Unreached
	if x.proxy.Reaches(x.relayed.Test) {
		result = relay.Reached
	}
	x.sendRelayResult(relay.Response{Result: result})
}

// tellHeard tells a peer when this host last heard an endpoint of a fleet.
func (x *exchange) tellHeard() {
	ago, ok := x.proxy.Links.Table.Asked(clock.Now(), x.relayed.Fleet)
	if !ok {
		x.sendRelayResult(relay.Response{Result: relay.Unheard})
		return
	}
	x.sendRelayResult(relay.Response{Result: relay.Heard, HeardAgoMillis: ago.Milliseconds() + 1})
}
