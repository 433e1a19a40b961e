package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
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
	sentAt          time.Time
	// err is why the attempt failed; nil if it has not failed or if the response is the reason.
	err error
	// status is the HTTP status that the endpoint returned; zero before there is a response.
	status int
	// closed is set if the endpoint wants no further requests for some time.
	closed bool
	// framing is how the endpoint marks the end of its response; empty before there is a response.
	framing httpclient.Framing
	// events is the number of complete events received.
	events int
	// brokenOff is set if the endpoint closed or reset the connection before its response was complete.
	brokenOff bool
	// partialBytes is the size of the incomplete event that a stream ended with.
	partialBytes int
	// firstEventAt is when a stream's first event arrived, and lastEventAt when events were last
	// forwarded to the caller; both are zero before.
	firstEventAt time.Time
	lastEventAt  time.Time
}

func (a *attempt) run() (outcome, balancer.Result) {
	out, result := a.exchangeWithEndpoint()
	a.brokenOff = out == outcomeFailed && isBrokenOff(a.err)
	return out, result
}

// isBrokenOff reports whether err means that the endpoint did not finish its response.
func isBrokenOff(err error) bool {
	return httpclient.IsBrokenOff(err) || errors.Is(err, errCutInsideEvent) || errors.Is(err, errNoEvent)
}

func (a *attempt) exchangeWithEndpoint() (outcome, balancer.Result) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	a.encode(req)
	x := a.exchange
	target := httpclient.Target{Address: a.choice.Endpoint.Address, Instance: a.choice.Endpoint.ID}
	options := httpclient.OpenOptions{BeforeSend: a.permit, Matches: a.matchesResponse}
	body, err := x.proxy.Upstream.OpenTarget(a.ctx, target, req, options)
	if err != nil {
		return a.errorOutcome(err)
	}
	defer body.Close()
	return a.relay(body)
}

// permit reports whether the request may still be sent and the endpoint still accepts requests, immediately
// before it is sent.
func (a *attempt) permit() error {
	if a.exchange.recheckQuarantine(clock.Now()) != nil {
		return errPromptQuarantined
	}
	first, err := a.balancerAttempt.Permit(clock.Now())
	if first {
		a.exchange.proxy.telemetry.Reopened(a)
	}
	return err
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
	case errors.Is(err, errPromptQuarantined):
		return outcomeWithdrawn, balancer.ResultCancelled
	case errors.Is(err, balancer.ErrEndpointClosed), errors.Is(err, balancer.ErrEndpointLeaving):
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
	if errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return outcomeFailed, balancer.ResultFailed
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
	if !info.WrongEndpoint {
		x.proxy.Quarantine.Responded(clock.Now(), a.instanceName(), a.sentAt)
	}
	a.observeSignal(&info)
	a.observeLimit(&info)
	a.closed = info.Signal.RetryAfter > 0
	if info.KeepAlive > 0 {
		body.SetIdleTimeout(time.Duration(float64(info.KeepAlive) * idleTimeoutFraction))
	}
	if info.Load != nil {
		a.balancerAttempt.ObserveLoad(clock.Now(), info.Load.Running+info.Load.Waiting)
	}
	if info.NotExecuted {
		body.Finish()
		if info.WrongEndpoint {
			return outcomeNotExecuted, balancer.ResultAddressReused
		}
		return outcomeNotExecuted, balancer.ResultRefused
	}
	if x.route.Kind == fleet.RouteStream && isEventStream(header) {
		return a.relayStream(body)
	}
	return a.relayBuffered(body)
}

// observeSignal records what a response says about further requests to its endpoint. If another instance
// at the address has answered, the signal is recorded for the chosen one, which is gone: the response does
// not say which one has answered.
func (a *attempt) observeSignal(info *ResponseInfo) {
	change := a.balancerAttempt.ObserveSignal(clock.Now(), rand.Float64(), info.Signal)
	a.exchange.proxy.telemetry.SignalObserved(a, info, change)
	if change.Left {
		a.exchange.proxy.OnLeaving()
	}
}

// observeLimit records what the head of a response says about the rate limit of its endpoint. Another
// instance at the address says nothing about the chosen one.
func (a *attempt) observeLimit(info *ResponseInfo) {
	if info.WrongEndpoint {
		return
	}
	if a.balancerAttempt.ObserveLimit(clock.Now(), info.Signal.Limit) {
		a.exchange.proxy.telemetry.LimitChanged(a, info.Signal.Limit)
		a.exchange.proxy.OnLimit()
	}
}

// observeTrailer records a signal in the trailer of a response that has been read to its end. The trailer
// is part of the header by then, and is forwarded with it.
func (a *attempt) observeTrailer(body *httpclient.Body) {
	if a.framing != httpclient.FramingChunked || a.closed {
		return
	}
	info := a.exchange.proxy.HeaderCodec.DecodeResponse(&body.Response.Header)
	a.observeSignal(&info)
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

// relayBuffered forwards a response once it is complete, so that the caller never gets a truncated
// one that looks whole.
func (a *attempt) relayBuffered(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	content, err := readAll(body)
	if err != nil {
		a.err = err
		if a.ctx.Err() != nil {
			return a.contextEnded()
		}
		return outcomeFailed, balancer.ResultFailed
	}
	a.observeTrailer(body)
	now := clock.Now()
	x.markStarted(a.sentAt)
	if a.shouldRetry() {
		return outcomeFailed, a.errorResult()
	}
	defer body.Finish()
	if x.headSent {
		// The caller has part of a stream that was to resume at this endpoint; an error response
		// cannot follow it.
		return outcomeFailed, a.errorResult()
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	copyHeader(&resp.Header, &body.Response.Header)
	resp.SkipBody = x.request.Header.IsHead()
	resp.SetBodyRaw(content)
	x.sendResponse(resp)
	x.proxy.telemetry.Responded(x, a, now)
	if a.status >= fasthttp.StatusInternalServerError {
		return outcomeDone, a.errorResult()
	}
	return outcomeDone, balancer.ResultOK
}

// errorResult returns the result of an attempt that was answered with an error status. An endpoint that
// closes itself for some time has not failed.
func (a *attempt) errorResult() balancer.Result {
	if a.closed {
		return balancer.ResultRefused
	}
	return balancer.ResultError
}

// shouldRetry reports whether the request may be retried at another endpoint because of this one's
// error status: if the route and its MaxAttempts allow it, and if more than twice the time to the
// first event that was estimated for this endpoint is left.
func (a *attempt) shouldRetry() bool {
	x := a.exchange
	if a.status < fasthttp.StatusInternalServerError || !x.route.Retryable() || x.probe {
		return false
	}
	if x.sends+1 >= x.route.MaxAttempts {
		return false
	}
	return x.deadline.Sub(clock.Now()) > 2*a.choice.FirstEvent
}

// readAll reads a body to its end. It returns an error for a truncated body and for one of more than
// maxResponseBytes.
func readAll(body *httpclient.Body) ([]byte, error) {
	var content []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		content = append(content, buffer[:n]...)
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
		if len(content) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
	}
}

var errResponseTooLarge = errors.New("endpoint's response exceeds the size limit")

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
