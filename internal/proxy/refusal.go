package proxy

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quota"
)

// Reason says why the proxy itself answered a request. Its values are stable: they appear in
// responses, logs and metrics.
type Reason string

// Reasons for a refusal: the request has not run and never will.
const (
	ReasonStarting                 Reason = "starting"
	ReasonConfigurationUnconfirmed Reason = "configuration_unconfirmed"
	ReasonQuota                    Reason = "quota"
	ReasonNoEndpoint               Reason = "no_endpoint"
	ReasonEndpointsClosed          Reason = "endpoints_closed"
	ReasonOverloaded               Reason = "overloaded"
	ReasonEndpointsFull            Reason = "endpoints_full"
	ReasonEndpointsRefused         Reason = "endpoints_refused"
	ReasonEndpointsUnreachable     Reason = "endpoints_unreachable"
	ReasonOutOfMemory              Reason = "out_of_memory"
	ReasonNotSentInTime            Reason = "not_sent_in_time"
	ReasonPromptQuarantined        Reason = "prompt_quarantined"
	ReasonRequestQuarantined       Reason = "request_quarantined"
	ReasonOriginUnknown            Reason = "stream_origin_unknown"
)

// Reasons for other error responses. After ReasonEndpointFailed, ReasonTimeout and ReasonStreamWithoutNumbers the
// request may have run; after the others it has not.
const (
	ReasonMalformed      Reason = "malformed"
	ReasonNoRoute        Reason = "no_route"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonBodyTooLarge   Reason = "body_too_large"
	ReasonHeaderTooLarge Reason = "header_too_large"
	ReasonRequestTooSlow Reason = "request_too_slow"
	ReasonEndpointFailed Reason = "endpoint_failed"
	ReasonTimeout        Reason = "timeout"
	// ReasonStreamWithoutNumbers means that a stream broke off and that no number shows what follows its last event.
	ReasonStreamWithoutNumbers Reason = "stream_without_numbers"
)

// errorResponse is an error response of the proxy itself.
type errorResponse struct {
	status int
	reason Reason
	// retryAfter is how long the caller should wait before it retries; zero if the response does not
	// ask for a retry.
	retryAfter time.Duration
	// quota is the decision of the organisation's quota if it refused the request, else nil;
	// quotaTokens is what the request counts.
	quota       *quota.Decision
	quotaTokens float64
	// estimate is the best endpoint, with its estimated time to the first event, if the request was
	// refused because it would have waited too long there; else nil.
	estimate *balancer.Choice
	// quarantine is the entry that covers the request if it was refused because of it; else nil.
	quarantine *quarantine.Entry
	// share is the decision on the organisation's share if it refused the request, else nil.
	share *fairshare.Decision
	// body is what the request's body held if it could not be received, else nil.
	body *bodybudget.State
	// noRetry is what forbade another attempt after one that may have reached an endpoint; empty if nothing did.
	noRetry retryObstacle
}

// retryObstacle is what forbids another attempt, as logs name it.
type retryObstacle string

const (
	obstacleMaxAttempts retryObstacle = "max_attempts"
	obstacleRetryBudget retryObstacle = "retry_budget"
)

func newErrorResponse(status int, reason Reason, retryAfter time.Duration) *errorResponse {
	return &errorResponse{status: status, reason: reason, retryAfter: retryAfter}
}

// fillErrorResponse fills in the response to the caller.
func fillErrorResponse(resp *fasthttp.Response, e *errorResponse) {
	resp.SetStatusCode(e.status)
	resp.Header.SetContentType("application/json")
	if e.retryAfter > 0 {
		// Callers accept fractions of a second.
		seconds := math.Ceil(e.retryAfter.Seconds()*100) / 100
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	resp.SetBodyString(`{"error":"` + string(e.reason) + `"}`)
}
