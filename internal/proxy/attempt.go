package proxy

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine/verify"
	"rattanchute/internal/reachability"
	"rattanchute/internal/relay"
	"rattanchute/internal/rollout"
)

// maxResponseBytes bounds a response that is buffered before it is relayed.
const maxResponseBytes = 16 << 20

// idleTimeoutFraction is the fraction of the endpoint's idle timeout during which a connection is
// reused, so that the endpoint does not close it under a request.
const idleTimeoutFraction = 0.7

// attempt is one sending of a request to one endpoint.
type attempt struct {
	exchange        *exchange
	choice          balancer.Choice
	ctx             context.Context
	balancerAttempt *balancer.Attempt
	// ticket counts the request among those in progress at a version; nil before it is sent.
	ticket *rollout.Ticket
	sentAt time.Time
	// wait is the wait for the endpoint; nil if the attempt goes to a peer.
	wait *reachability.Wait
	// connNew is set if the connection was opened for this attempt; connOpenedAt is when it was opened.
	connNew      bool
	connOpenedAt time.Time
	// peer is the host that the request is relayed to; nil if it is sent to the endpoint itself.
	peer *relay.Peer
	// refusal is the final answer that the peer gave; nil if there is none.
	refusal *errorResponse
	// err is why the attempt failed; nil if it has not failed or if the response is the reason.
	err error
	// status is the HTTP status that the endpoint returned; zero before there is a response.
	status int
	// closed is set if the endpoint wants no further requests for some time.
	closed bool
	// framing is how the endpoint marks the end of its response; empty before there is a response.
	framing httpclient.Framing
	// presence is whether the endpoint was there when its response ended with its connection; unknown otherwise.
	presence verify.Presence
	// left is set if the endpoint was known to leave and was gone then: it has not crashed.
	left bool
	// events is the number of complete events received.
	events int
	// completed is set once the endpoint's response is complete and is passed on to the caller.
	completed bool
	// terminated is set if the endpoint closed or reset the connection before its response was complete.
	terminated bool
	// partialBytes is the size of the incomplete event that a stream ended with.
	partialBytes int
	// firstEventAt is when a stream's first event arrived, and lastEventAt when events were last
	// forwarded to the caller; both are zero before.
	firstEventAt time.Time
	lastEventAt  time.Time
}

func (a *attempt) run() (outcome, balancer.Result) {
	if a.peer != nil {
		return a.exchangeWithPeer()
	}
	wait, ctx := a.beginWait()
	a.wait = wait
	out, result := a.exchangeWithEndpoint(ctx)
	wait.End()
	if out != outcomeDone && errors.Is(context.Cause(ctx), errTakenBack) {
		a.err = errTakenBack
	} else {
		a.observeLink(result)
	}
	a.terminated = out == outcomeFailed && isTerminated(a.err) && !a.left
	return out, result
}

// isTerminated reports whether err means that the endpoint did not finish its response.
func isTerminated(err error) bool {
	return httpclient.IsTerminated(err) || errors.Is(err, errCutInsideEvent) || errors.Is(err, errNoEvent) ||
		errors.Is(err, errEndpointGone)
}

// exchangeWithEndpoint sends the request, unless its context ends, and relays the response.
func (a *attempt) exchangeWithEndpoint(ctx context.Context) (outcome, balancer.Result) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.encode(req)
	x := a.exchange
	target := httpclient.Target{Address: a.choice.Endpoint.Address, Instance: a.choice.Endpoint.ID}
	options := httpclient.OpenOptions{BeforeSend: a.permit, Matches: a.matchesResponse, Connected: a.connected}
	body, err := x.proxy.Upstream.OpenTarget(ctx, target, req, options)
	if err != nil {
		return a.errorOutcome(err)
	}
	defer body.Close()
	a.heard()
	return a.relay(body)
}

// permit reports whether the request may still be sent and the endpoint still accepts requests, immediately
// before it is sent.
func (a *attempt) permit() error {
	if a.exchange.recheckQuarantine() != nil {
		return errQuarantined
	}
	first, err := a.balancerAttempt.Permit(clock.Now())
	if first {
		a.exchange.proxy.telemetry.Reopened(a)
	}
	if err != nil {
		return err
	}
	return a.permitVersion()
}

func (a *attempt) encode(req *fasthttp.Request) {
	x := a.exchange
	upstream := UpstreamRequest{
		Endpoint:    a.choice.Endpoint.ID,
		TimeLeft:    x.deadline.Sub(clock.Now()),
		Priority:    -1,
		FetchFrom:   a.choice.FetchFrom,
		LastEventID: x.info.LastEventID,
	}
	if x.organisation != nil {
		upstream.Organisation = x.organisation.Name
	}
	if x.route.Kind == fleet.RouteStream {
		upstream.Priority = min(max(x.priority, 0), maxPriorityClass)
	}
	x.proxy.HeaderCodec.EncodeUpstream(&req.Header, &x.request.Header, upstream)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.ResetConnectionClose()
	req.Header.SetNoDefaultContentType(true)
	if body := x.request.Body(); len(body) > 0 {
		req.SetBodyRaw(body)
	}
}

// maxPriorityClass is the last, and so the lowest, priority class that engines know.
const maxPriorityClass = 9

// matchesResponse reports whether a response carries the ID of this request. A late or duplicate
// response to an earlier request on the connection does not.
func (a *attempt) matchesResponse(h *fasthttp.ResponseHeader) bool {
	return a.exchange.proxy.HeaderCodec.DecodeResponse(h).ID == a.exchange.info.ID
}

// errorOutcome records err and returns the outcome of an attempt that received no response because
// of it.
func (a *attempt) errorOutcome(err error) (outcome, balancer.Result) {
	a.err = err
	switch {
	case errors.Is(err, httpclient.ErrNotSent) && a.ctx.Err() != nil:
		return outcomeNotSent, balancer.ResultCancelled
	case errors.Is(err, errQuarantined), errors.Is(err, rollout.ErrNotPermitted):
		return outcomeWithdrawn, balancer.ResultCancelled
	case errors.Is(err, balancer.ErrEndpointClosed), errors.Is(err, balancer.ErrEndpointLeaving),
		errors.Is(err, balancer.ErrEndpointFull):
		return outcomeWithdrawn, balancer.ResultRefused
	case errors.Is(err, httpclient.ErrNotSent):
		return outcomeNotSent, balancer.ResultUnreachable
	case a.ctx.Err() != nil:
		return a.contextEnded()
	}
	return outcomeFailed, balancer.ResultFailed
}

// contextEnded returns the outcome of an attempt whose context has ended after the request may have
// reached the endpoint.
func (a *attempt) contextEnded() (outcome, balancer.Result) {
	switch {
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return outcomeFailed, balancer.ResultFailed
	case endedByStop(a.ctx):
		return outcomeFailed, balancer.ResultCancelled
	}
	// The caller has disconnected: no response is sent.
	a.exchange.markUnanswered(clock.Now())
	a.exchange.callerLeft()
	return outcomeDone, balancer.ResultCancelled
}

func (a *attempt) relay(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	header := &body.Response.Header
	info := x.proxy.HeaderCodec.DecodeResponse(header)
	a.status = header.StatusCode()
	a.framing = body.Framing()
	if !info.WrongEndpoint && x.proxy.Quarantine.Active() {
		x.proxy.Quarantine.Responded(clock.Now(), a.instanceName(), a.sentAt)
	}
	a.observeSignal(&info)
	a.observeLimit(&info)
	a.observeRejectionLimit(&info)
	a.closed = info.Signal.RetryAfter > 0
	if info.KeepAlive > 0 {
		body.SetIdleTimeout(time.Duration(float64(info.KeepAlive) * idleTimeoutFraction))
	}
	if info.Load != nil {
		a.balancerAttempt.ObserveLoad(clock.Now(), info.Load.Running+info.Load.Waiting)
		a.balancerAttempt.ObserveSlowdown(clock.Now(), info.Load.Slowdown)
	}
	if info.NotExecuted {
		body.Finish()
		if info.WrongEndpoint {
			return outcomeNotExecuted, balancer.ResultAddressReused
		}
		return outcomeNotExecuted, balancer.ResultRefused
	}
	return a.relayBody(body)
}

// relayBody relays a response of which the header has been read.
func (a *attempt) relayBody(body *httpclient.Body) (outcome, balancer.Result) {
	if a.exchange.route.Kind == fleet.RouteStream && isEventStream(&body.Response.Header) {
		return a.relayStream(body)
	}
	return a.relayBuffered(body)
}

// isEventStream reports whether a response is a stream of events: one with status 200 whose content
// type says so or is missing.
func isEventStream(h *fasthttp.ResponseHeader) bool {
	if h.StatusCode() != fasthttp.StatusOK {
		return false
	}
	h.SetNoDefaultContentType(true)
	mediaType, _, _ := bytes.Cut(h.ContentType(), []byte(";"))
	mediaType = bytes.TrimSpace(mediaType)
	return len(mediaType) == 0 || bytes.EqualFold(mediaType, []byte("text/event-stream"))
}

// hopHeaders are the hop-by-hop headers, which concern the endpoint's connection only.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade, fasthttp.HeaderProxyConnection,
}

// copyHeader copies an endpoint's response header without the hop-by-hop headers.
func copyHeader(to, from *fasthttp.ResponseHeader) {
	from.CopyTo(to)
	for _, name := range hopHeaders {
		to.Del(name)
	}
	to.ResetConnectionClose()
	to.SetNoDefaultContentType(true)
}
