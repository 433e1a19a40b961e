package proxy

import (
	"math/rand/v2"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/clock"
)

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

// observeRejectionLimit records the rejection limit that the head of a response states.
func (a *attempt) observeRejectionLimit(info *ResponseInfo) {
	if info.WrongEndpoint || !info.Signal.RejectionLimit.Stated {
		return
	}
	now := clock.Now()
	if !a.exchange.proxy.Balancer.HasRejectionLimit(now, a.exchange.fleet) {
		a.exchange.proxy.telemetry.RejectionLimitStated(a, info.Signal.RejectionLimit)
	}
	a.balancerAttempt.ObserveRejectionLimit(now, info.Signal.RejectionLimit)
}

// observeTrailer records a signal in the trailer of a response that has been read to its end. The trailer
// is part of the header by then, and is forwarded with it.
func (a *attempt) observeTrailer(body *httpclient.Body) {
	if a.framing != httpclient.FramingChunked || a.closed || a.peer != nil {
		return
	}
	info := a.exchange.proxy.HeaderCodec.DecodeResponse(&body.Response.Header)
	a.observeSignal(&info)
}
