package proxy

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/quarantine"
)

// admit decides whether the request is accepted, and returns the error response if it is not.
func (x *exchange) admit() *errorResponse {
	return firstError(
		x.readInfo, x.findRoute, x.checkKey, x.setDeadline, x.checkStop, x.findOrigin, x.prepare, x.checkQuarantine,
		x.recordDemand, x.checkQuota, x.checkShare,
	)
}

// firstError takes steps until one returns an error response, and returns that.
func firstError(steps ...func() *errorResponse) *errorResponse {
	for _, step := range steps {
		if e := step(); e != nil {
			return e
		}
	}
	return nil
}

func (x *exchange) readInfo() *errorResponse {
	var err error
	x.info, err = x.proxy.HeaderCodec.DecodeRequest(&x.request.Header)
	if err != nil {
		return newErrorResponse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
	}
	x.table = x.proxy.table.Load()
	if x.table == nil {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonStarting, startingRetryAfter)
	}
	return nil
}

func (x *exchange) findRoute() *errorResponse {
	x.route = x.table.MatchRoute(hostName(x.request.Header.Host()), pathOf(x.request.Header.RequestURI()))
	if x.route == nil {
		return x.denyUnknown(fasthttp.StatusNotFound, ReasonNoRoute)
	}
	return nil
}

// denyUnknown returns the error response for an unknown route or key. If the configuration was not
// confirmed recently enough to be sure, this is a refusal that allows a retry.
func (x *exchange) denyUnknown(status int, reason Reason) *errorResponse {
	if x.proxy.ConfigurationAge(x.arrived) > x.proxy.DenyMaxAge {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonConfigurationUnconfirmed, unconfirmedRetryAfter)
	}
	return newErrorResponse(status, reason, 0)
}

// hostName returns the host in lower case, without the first colon and what follows it.
func hostName(host []byte) string {
	name, _, _ := strings.Cut(string(host), ":")
	return strings.ToLower(name)
}

func pathOf(uri []byte) string {
	path, _, _ := strings.Cut(string(uri), "?")
	return path
}

// checkKey identifies the organisation by the caller's key. Only public routes need no key, however
// many organisations the configuration has left.
func (x *exchange) checkKey() *errorResponse {
	x.organisation = nil
	if x.route.Public {
		return nil
	}
	organisation, known := x.table.OrganisationByKeyHash(x.info.KeyHash)
	if x.info.KeyHash == "" || !known {
		return x.denyUnknown(fasthttp.StatusUnauthorized, ReasonUnknownKey)
	}
	if limit := x.proxy.KeyMaxAge; limit > 0 && x.proxy.ConfigurationAge(x.arrived) > limit {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonConfigurationUnconfirmed, unconfirmedRetryAfter)
	}
	x.organisation = &organisation
	return nil
}

// setDeadline sets the deadline. It never refuses the request.
func (x *exchange) setDeadline() *errorResponse {
	timeout := x.info.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(timeout)
	return nil
}

// prepare sets the fleet, the priority and the request to the balancer. It never refuses the request.
func (x *exchange) prepare() *errorResponse {
	x.fleet = x.origin.Fleet
	if x.fleet == "" {
		x.fleet = pickFleet(x.route)
	}
	x.priority = x.route.Priority
	if x.organisation != nil && x.organisation.Priority != nil {
		x.priority = *x.organisation.Priority
	}
	x.balancerRequest = balancer.Request{
		Fleet:        x.fleet,
		Version:      x.origin.Version,
		PromptTokens: x.info.PromptTokens,
		OutputTokens: x.expectedOutput(),

		EventGapTarget: x.route.EventGapTarget,
	}
	x.balancerRequest.Prefixes = prefixesOf(x.info.Parts)
	if len(x.info.Parts) > maxParts {
		x.info.Parts = slices.Clone(x.info.Parts[:maxParts])
	}
	return nil
}

// maxParts is how many parts of a prompt count. Of one with more, the parts from there on are taken together as the last one,
// which no other request shares.
const maxParts = 64

// prefixesOf returns the prefixes of a prompt, the shortest first; the last one is the whole prompt.
func prefixesOf(parts []Part) []balancer.Prefix {
	var prefix balancer.Prefix
	prefixes := make([]balancer.Prefix, 0, min(len(parts), maxParts))
	for i, part := range parts {
		prefix = balancer.AppendPrefix(prefix, part.ID, part.Tokens)
		if i < maxParts-1 || i == len(parts)-1 {
			prefixes = append(prefixes, prefix)
		}
	}
	return prefixes
}

// fingerprint returns the text that this request and its repetitions have in common. It is worked out when it
// is first needed.
func (x *exchange) fingerprint() string {
	if x.fingerprintText == "" {
		caller := ""
		if x.organisation != nil {
			caller = x.organisation.Name
		}
		h := &x.request.Header
		x.fingerprintText = quarantine.Fingerprint(caller, string(h.Method()), hostName(h.Host()), string(h.RequestURI()), x.request.Body())
	}
	return x.fingerprintText
}

// recordDemand records the demand for endpoints. It never refuses the request.
func (x *exchange) recordDemand() *errorResponse {
	x.proxy.demand.record(x.arrived, x.fleet, x.info.PromptTokens, x.balancerRequest.OutputTokens)
	return nil
}

// expectedOutput returns the caller's estimate, or else half of the declared maximum.
func (x *exchange) expectedOutput() int {
	if x.info.ExpectedOutput > 0 {
		return min(x.info.ExpectedOutput, max(x.info.OutputTokens, x.info.ExpectedOutput))
	}
	return x.info.OutputTokens / 2
}

func (x *exchange) checkQuota() *errorResponse {
	if x.organisation == nil {
		return nil
	}
	x.tokenCost = quotaCost(&x.info, x.organisation.Quota)
	d := x.proxy.Quota.Take(x.arrived, rand.Uint64(), x.organisation.Name, x.tokenCost)
	if d.OK {
		return nil
	}
	e := newErrorResponse(fasthttp.StatusTooManyRequests, ReasonQuota, withJitter(d.Wait))
	e.quota, e.quotaTokens = &d, x.tokenCost
	x.tokenCost = 0
	return e
}
