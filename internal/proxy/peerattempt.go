package proxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/registry"
	"rattanchute/internal/relay"
)

const (
	// maxUnreachableAlone is how many endpoints of a request may be out of reach before a peer is asked.
	maxUnreachableAlone = 2
	// maxFailedPeers is how many peers that cannot send it are asked for one request.
	maxFailedPeers = 3
	// maxFullPeers is the same for peers that have slots of endpoints with a rejection limit, which may all
	// be in use.
	maxFullPeers = 5
)

// Peers are the hosts that requests are relayed to while this host cannot reach their endpoints.
type Peers struct {
	// Self is the name of this host.
	Self string
	// Client sends to peers.
	Client Upstream
	// Picker chooses among the candidates for a fleet.
	Picker     *relay.Picker
	Candidates func(now time.Time, fleet string) []relay.Peer
	// SlotOwners are the candidates that may use slots of a fleet's endpoints that have a rejection limit.
	SlotOwners func(now time.Time, fleet string) []relay.Peer
}

// errPeer means that a peer did not say what has become of a request.
var errPeer = errors.New("peer did not say what has become of the request")

// pickPeer chooses the peer to relay the request to; nil if it goes to an endpoint, or if no peer is left.
// noEndpoint is set if there is no endpoint to choose.
func (x *exchange) pickPeer(now time.Time, unreachable int, noEndpoint bool) *relay.Peer {
	peers := &x.proxy.Peers
	if x.relayed != nil || peers.Candidates == nil {
		return nil
	}
	candidates, limit := peers.Candidates, maxFailedPeers
	switch {
	case x.proxy.Links.Table.Lost(x.fleet) || unreachable >= maxUnreachableAlone || noEndpoint && unreachable > 0:
	case noEndpoint && x.asksSlotOwners(now):
		candidates, limit = peers.SlotOwners, maxFullPeers
	default:
		return nil
	}
	if len(x.failedPeers) >= limit {
		return nil
	}
	peer, ok := peers.Picker.Pick(now, rand.Uint64(), x.fleet, candidates(now, x.fleet), x.failedPeers)
	if !ok {
		return nil
	}
	return &peer
}

// asksSlotOwners reports whether peers may have a free slot of an endpoint of the fleet, which has a rejection limit,
// while this host has none.
func (x *exchange) asksSlotOwners(now time.Time) bool {
	return x.proxy.Peers.SlotOwners != nil && x.proxy.Balancer.AsksPeers(now, x.fleet)
}

// newPeerAttempt returns an attempt through a peer. It is counted at no endpoint: the peer does that.
func (x *exchange) newPeerAttempt(ctx context.Context, peer *relay.Peer) *attempt {
	now := clock.Now()
	choice := balancer.Choice{Endpoint: registry.Known{Endpoint: registry.Endpoint{Fleet: x.fleet}}}
	a := &attempt{exchange: x, choice: choice, ctx: ctx, sentAt: now, peer: peer}
	a.balancerAttempt = x.proxy.Balancer.Begin(now, x.balancerRequest, choice)
	return a
}

// exchangeWithPeer relays the request and its response.
func (a *attempt) exchangeWithPeer() (outcome, balancer.Result) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.encodeForPeer(req)
	x := a.exchange
	options := httpclient.OpenOptions{Matches: a.matchesPeerResponse}
	body, err := x.proxy.Peers.Client.OpenTarget(a.ctx, httpclient.Target{Address: a.peer.Address}, req, options)
	if err != nil {
		out, result := a.errorOutcome(err)
		if out == outcomeNotSent {
			x.proxy.Peers.Picker.Failed(clock.Now(), a.peer.Name, x.fleet)
		}
		return out, result
	}
	defer body.Close()
	return a.relayFromPeer(body)
}

// matchesPeerResponse is matchesResponse for the response of a peer, which may also say that it did not take the connection.
func (a *attempt) matchesPeerResponse(h *fasthttp.ResponseHeader) bool {
	return a.matchesResponse(h) || relay.IsNotTaken(h.Peek(relay.Header))
}

// encodeForPeer copies the caller's request, key included: the peer checks it as its own.
func (a *attempt) encodeForPeer(req *fasthttp.Request) {
	x := a.exchange
	x.request.Header.CopyTo(&req.Header)
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	req.Header.Del(fasthttp.HeaderExpect)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.ResetConnectionClose()
	req.Header.SetNoDefaultContentType(true)
	req.Header.Set(relay.Header, relay.Encode(relay.Request{
		From: x.proxy.Peers.Self, Fleet: x.fleet, Version: x.balancerRequest.Version,
		TimeoutMillis: x.deadline.Sub(clock.Now()).Milliseconds(), LastEventID: x.info.LastEventID,
		Connection: string(x.request.Header.Peek(fasthttp.HeaderConnection)), Sends: x.sends, Exclude: x.tried,
	}))
	if body := x.request.Body(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
}

// relayFromPeer relays a response that came through the peer, as its result says.
func (a *attempt) relayFromPeer(body *httpclient.Body) (outcome, balancer.Result) {
	header := &body.Response.Header
	told, err := relay.DecodeResponse(header.Peek(relay.Header))
	a.status, a.framing = header.StatusCode(), body.Framing()
	a.choice.Endpoint.ID, a.choice.Endpoint.Version = told.Endpoint, told.Version
	if told.Result == relay.Answered {
		return a.relayBody(body)
	}
	body.Finish()
	switch told.Result {
	case relay.NotSent:
		a.err = fmt.Errorf("%w: peer %s: %s", httpclient.ErrNotSent, a.peer.Name, told.Reason)
		a.exchange.proxy.Peers.Picker.Failed(clock.Now(), a.peer.Name, a.exchange.fleet)
		return outcomeNotSent, balancer.ResultCancelled
	case relay.NotRun:
		a.refusal = a.exchange.refusalOrFailure(Reason(told.Reason), told.RetryAfter())
		return outcomeNotSent, balancer.ResultRefused
	case relay.Rejected:
		return outcomeNotExecuted, balancer.ResultRefused
	case relay.Failed:
		a.err = fmt.Errorf("peer %s: %s", a.peer.Name, told.Reason)
	default:
		a.err = errors.Join(errPeer, err)
	}
	return outcomeFailed, balancer.ResultFailed
}
