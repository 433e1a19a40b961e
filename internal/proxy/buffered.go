package proxy

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
)

// relayBuffered forwards a response once it is complete, so that the caller never gets a truncated
// one that looks whole.
func (a *attempt) relayBuffered(body *httpclient.Body) (outcome, balancer.Result) {
	x := a.exchange
	content, err := readAll(body, a.heardEndpoint)
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
	if a.shouldRetry() {
		return outcomeFailed, a.errorResult()
	}
	defer body.Finish()
	if x.headSent || a.passesForRest() {
		// The caller has part of a stream that was to resume at this endpoint; a response that is no stream of
		// events cannot follow it.
		a.err = errNotEvents
		return outcomeFailed, a.errorResult()
	}
	a.recordCompletion()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	copyHeader(&resp.Header, &body.Response.Header)
	a.markAnswered(&resp.Header)
	resp.SkipBody = x.request.Header.IsHead()
	resp.SetBodyRaw(content)
	x.sendResponse(resp)
	x.proxy.telemetry.Responded(x, a, now)
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

// readAll reads a body to its end, and calls heard whenever bytes have arrived. It returns an error for a truncated
// body and for one of more than maxResponseBytes.
func readAll(body *httpclient.Body, heard func()) ([]byte, error) {
	var content []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			heard()
		}
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
