package proxy

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
)

// relayBuffered forwards a response once it is complete, so that the caller never gets a truncated
// one that looks whole. One for which there is too little memory is forwarded as it comes.
func (a *attempt) relayBuffered(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	buffer := responseBuffer{budget: x.proxy.Bodies}
	defer buffer.release()
	err := a.readAll(body, &buffer)
	if errors.Is(err, bodybudget.ErrNoRoom) {
		return a.relayUnbuffered(body, buffer.content)
	}
	if err == nil {
		err = a.checkEnd()
	}
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
	if !a.mayForward() {
		return outcomeFailed, a.errorResult()
	}
	defer body.Finish()
	a.recordCompletion()
	resp := a.newResponse(body)
	defer fasthttp.ReleaseResponse(resp)
	resp.SetBodyRaw(buffer.content)
	x.sendResponse(resp)
	return a.forwarded(now)
}

// newResponse returns the response to the caller, without its body.
func (a *attempt) newResponse(body *httpclient.Body) *fasthttp.Response {
	resp := fasthttp.AcquireResponse()
	copyHeader(&resp.Header, &body.Response.Header)
	a.markAnswered(&resp.Header)
	resp.SkipBody = a.exchange.request.Header.IsHead()
	return resp
}

// mayForward reports whether a response that is no stream of events may be forwarded: nothing else will be better, and the
// caller does not have a part of a stream that was to resume at this endpoint.
func (a *attempt) mayForward() bool {
	if a.shouldRetry() {
		return false
	}
	if a.exchange.headSent || a.passesForRest() {
		a.err = errNotEvents
		return false
	}
	return true
}

// forwarded returns the outcome of an attempt whose response has been forwarded.
func (a *attempt) forwarded(now time.Time) (outcome, balancer.Result) {
	a.exchange.proxy.telemetry.Responded(a.exchange, a, now)
	if a.status >= fasthttp.StatusInternalServerError {
		return outcomeDone, a.errorResult()
	}
	return outcomeDone, balancer.ResultOK
}

// passesForRest reports whether a caller that has asked for the rest of a stream would take the response for that: its
// status is one of success.
func (a *attempt) passesForRest() bool {
	return a.exchange.continuation.has && a.status/100 == 2
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
	if a.status < fasthttp.StatusInternalServerError || !x.route.Retryable() || x.probe || x.relayed != nil {
		return false
	}
	if x.sends+1 >= x.route.MaxAttempts {
		return false
	}
	return x.deadline.Sub(clock.Now()) > 2*a.choice.FirstEvent
}

// heardEndpoint records that bytes have arrived, if they come from the endpoint itself.
func (a *attempt) heardEndpoint() {
	if a.peer == nil {
		a.heard()
	}
}

// readAll reads a response to its end. It returns bodybudget.ErrNoRoom if there is too little memory for it, and an error
// for a truncated one and for one of more than maxResponseBytes.
func (a *attempt) readAll(body *httpclient.Body, to *responseBuffer) error {
	for {
		if err := to.makeRoom(1); err != nil {
			return err
		}
		n, err := body.Read(to.free())
		if n > 0 {
			a.heardEndpoint()
		}
		to.content = to.content[:len(to.content)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if len(to.content) > maxResponseBytes {
			return errResponseTooLarge
		}
	}
}

var errResponseTooLarge = errors.New("endpoint's response exceeds the size limit")
