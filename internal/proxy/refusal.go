package proxy

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/quota"
)

// Reason says why the gateway answered on its own. It is stable, in answers, logs and
// metrics.
type Reason string

// The reasons of refusals: the request has not run and never will.
const (
	ReasonStarting                 Reason = "starting"
	ReasonConfigurationUnconfirmed Reason = "configuration_unconfirmed"
	ReasonQuota                    Reason = "quota"
	ReasonNoEndpoint               Reason = "no_endpoint"
	ReasonOverloaded               Reason = "overloaded"
	ReasonEndpointsRefused         Reason = "endpoints_refused"
	ReasonEndpointsUnreachable     Reason = "endpoints_unreachable"
	ReasonOutOfMemory              Reason = "out_of_memory"
	ReasonNotSentInTime            Reason = "not_sent_in_time"
)

// The reasons of other answers.
const (
	ReasonMalformed      Reason = "malformed"
	ReasonNoRoute        Reason = "no_route"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonHeaderTooLarge Reason = "header_too_large"
	ReasonRequestTooSlow Reason = "request_too_slow"
	ReasonEndpointFailed Reason = "endpoint_failed"
	ReasonTimeout        Reason = "timeout"
)

// verdict is an answer of the gateway's own.
type verdict struct {
	status int
	reason Reason
	// retryAfter is when to come back; zero if it would not help.
	retryAfter time.Duration
	// quota is why the organisation's quota refused the tokens that the request counts; nil
	// if it did not.
	quota  *quota.Decision
	tokens float64
	// offer is the best endpoint, if the request was refused as it would wait too long there.
	offer *balancer.Choice
}

func refuse(status int, reason Reason, retryAfter time.Duration) *verdict {
	return &verdict{status: status, reason: reason, retryAfter: retryAfter}
}

// setVerdict makes the answer that tells the verdict.
func setVerdict(resp *fasthttp.Response, v *verdict) {
	resp.SetStatusCode(v.status)
	resp.Header.SetContentType("application/json")
	if v.retryAfter > 0 {
		// Callers read fractions of a second.
		seconds := math.Ceil(v.retryAfter.Seconds()*100) / 100
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	resp.SetBodyString(`{"error":"` + string(v.reason) + `"}`)
}
