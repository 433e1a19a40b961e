package proxy

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/quarantine"
)

// errPromptQuarantined means that a request was not sent because its prompt has been found to crash
// endpoints since an endpoint was chosen.
var errPromptQuarantined = errors.New("the prompt is quarantined")

// sharedPrompt returns the parts of the prompt that other requests may have too: all but the last.
func (x *exchange) sharedPrompt() quarantine.Prompt {
	p := quarantine.Prompt{Fleet: x.fleet}
	for _, part := range x.info.Parts[:max(len(x.info.Parts)-1, 0)] {
		p.Parts = append(p.Parts, part.ID)
	}
	return p
}

// checkQuarantine refuses a request whose prompt crashes endpoints, unless it is sent as a probe.
func (x *exchange) checkQuarantine() *errorResponse {
	p := x.proxy
	v := p.Quarantine.Check(clock.Now(), x.prompt, p.MayProbe)
	x.probe = v.Probe
	if v.Probe {
		p.telemetry.Probing(x, v.Entry)
	}
	return x.quarantineError(v)
}

// recheckQuarantine is checkQuarantine for a request that was accepted and is about to be sent. A probe is
// sent once.
func (x *exchange) recheckQuarantine(now time.Time) *errorResponse {
	if x.probe && x.sends == 0 {
		return nil
	}
	return x.quarantineError(x.proxy.Quarantine.Check(now, x.prompt, nil))
}

// quarantineError returns the error response to a request that may not be sent; nil if it may.
func (x *exchange) quarantineError(v quarantine.Verdict) *errorResponse {
	if v.Allowed {
		return nil
	}
	status, reason, retryAfter := fasthttp.StatusServiceUnavailable, ReasonPromptQuarantined, max(v.RetryAfter, minRetryAfter)
	if x.started {
		status, reason, retryAfter = fasthttp.StatusBadGateway, ReasonEndpointFailed, 0
	}
	e := newErrorResponse(status, reason, retryAfter)
	e.quarantine = v.Entry
	return e
}

// observePrompt records what the end of the attempt says about the prompt.
func (a *attempt) observePrompt(out outcome, result balancer.Result) {
	x, q, now := a.exchange, a.exchange.proxy.Quarantine, clock.Now()
	hasParts := len(x.prompt.Parts) > 0
	switch {
	case a.terminated && hasParts:
		q.Terminated(now, a.instanceName(), x.prompt)
		x.proxy.OnCrash()
	case out == outcomeNotSent && result == balancer.ResultUnreachable:
		q.Unreachable(now, a.instanceName())
	case out == outcomeDone && result == balancer.ResultOK && hasParts && a.answersPrompt():
		q.Completed(now, a.instanceName(), x.prompt, a.framing == httpclient.FramingClose)
	}
}

// answersPrompt reports whether the complete response is an answer to the prompt, and not one that an
// endpoint can give without it.
func (a *attempt) answersPrompt() bool {
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
