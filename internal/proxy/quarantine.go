package proxy

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/verify"
)

// errQuarantined means that a request was not sent because it, or its prompt, has been found to crash
// endpoints since an endpoint was chosen.
var errQuarantined = errors.New("the request is quarantined")

// crashSubject returns what of the request may crash endpoints. Of its prompt that is what other requests may
// have too: all parts but the last.
func (x *exchange) crashSubject() quarantine.Request {
	r := quarantine.Request{Fleet: x.fleet, Fingerprint: x.fingerprint()}
	for _, part := range x.info.Parts[:max(len(x.info.Parts)-1, 0)] {
		r.Parts = append(r.Parts, part.ID)
	}
	return r
}

// checkQuarantine refuses a request that crashes endpoints, unless it is sent as a probe.
func (x *exchange) checkQuarantine() *errorResponse {
	v := x.quarantineVerdict(x.proxy.MayProbe)
	x.probe = v.Probe
	if v.Probe {
		x.proxy.telemetry.Probing(x, v.Entry)
	}
	return x.quarantineError(v)
}

// recheckQuarantine is checkQuarantine for a request that was accepted and is about to be sent. A probe is
// sent once.
func (x *exchange) recheckQuarantine() *errorResponse {
	if x.probe && x.sends == 0 {
		return nil
	}
	return x.quarantineError(x.quarantineVerdict(nil))
}

func (x *exchange) quarantineVerdict(mayProbe func() bool) quarantine.Verdict {
	if !x.proxy.Quarantine.Active() {
		return quarantine.Verdict{Allowed: true}
	}
	return x.proxy.crashes.Verdict(x.crashSubject(), mayProbe)
}

// quarantineError returns the error response to a request that may not be sent; nil if it may.
func (x *exchange) quarantineError(v quarantine.Verdict) *errorResponse {
	if v.Allowed {
		return nil
	}
	e := newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonPromptQuarantined, max(v.RetryAfter, minRetryAfter))
	if v.Entry.Fingerprint != "" {
		e.reason = ReasonRequestQuarantined
	}
	if x.started {
		e = newErrorResponse(fasthttp.StatusBadGateway, ReasonEndpointFailed, 0)
	}
	e.quarantine = v.Entry
	return e
}

// observeCrash records what the end of the attempt says about what crashes endpoints.
func (a *attempt) observeCrash(out outcome, result balancer.Result) {
	x, q, now := a.exchange, a.exchange.proxy.Quarantine, clock.Now()
	switch {
	case a.terminated && x.proxy.Balancer.HasRejectionLimit(now, x.fleet):
		// It crashes because of the requests that it rejected, not because of those that it ran.
	case a.terminated:
		if q.Terminated(now, a.instanceName(), a.sentAt, x.crashSubject()) {
			a.startVerification()
		}
		x.proxy.OnCrash()
	case errors.Is(a.err, syscall.ECONNREFUSED):
		q.Unreachable(now, a.instanceName())
	case a.completed:
	case a.isAbandoned(out, result):
		q.Abandoned(now, a.instanceName(), a.sentAt, x.crashSubject())
	}
}

// recordCompletion records that the endpoint's response is complete. It is called before the caller has all of it,
// so that a request that the caller sends next finds it recorded.
func (a *attempt) recordCompletion() {
	a.completed = true
	x, q := a.exchange, a.exchange.proxy.Quarantine
	unframed := a.framing == httpclient.FramingClose && a.presence != verify.Present && !a.left
	if a.peer != nil || !a.answersRequest() || !unframed && !q.Active() {
		return
	}
	q.Completed(clock.Now(), a.instanceName(), a.sentAt, x.crashSubject(), unframed)
	if unframed {
		a.startVerification()
	}
}

// startVerification has it found out whether the endpoint has crashed.
func (a *attempt) startVerification() {
	e := &a.choice.Endpoint
	a.exchange.proxy.crashes.Start(verify.Endpoint{Instance: a.instanceName(), ID: e.ID, Address: e.Address})
}

// isAbandoned reports whether the attempt was given up while its endpoint may have worked on it: its caller
// has left, or its time was up.
func (a *attempt) isAbandoned(out outcome, result balancer.Result) bool {
	switch out {
	case outcomeDone:
		return result == balancer.ResultCancelled
	case outcomeFailed:
		return a.ctx.Err() != nil
	}
	return false
}

// answersRequest reports whether the complete response is an answer to the request, and not one that an
// endpoint can give without running it.
func (a *attempt) answersRequest() bool {
	if a.exchange.route.Kind == fleet.RouteStream && a.events == 0 {
		return false
	}
	return a.status >= fasthttp.StatusOK && a.status < fasthttp.StatusMultipleChoices
}

// instanceName names the run of the endpoint.
func (a *attempt) instanceName() string {
	i := balancer.InstanceOf(&a.choice.Endpoint.Endpoint)
	return fmt.Sprintf("%s@%s/%d", i.ID, i.Address, i.StartMillis)
}
