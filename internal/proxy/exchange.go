package proxy

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

const (
	// startingRetryAfter is when to come back to a host that has no configuration yet.
	startingRetryAfter = 500 * time.Millisecond
	// staleRetryAfter is when to come back to a host that cannot confirm its configuration.
	staleRetryAfter = time.Second
	// defaultPatience is taken for a caller that does not say how long it waits.
	defaultPatience = 30 * time.Second
)

// exchange is one request of a caller and its answer.
type exchange struct {
	conn    *conn
	proxy   *Proxy
	request *fasthttp.Request
	arrived time.Time

	ask          RequestInfo
	table        *route.Table
	route        *fleet.Route
	organisation *fleet.Organisation
	fleet        string
	placing      balancer.Request
	priority     int
	// deadline is when the caller gives up or the route's timeout ends.
	deadline time.Time
	cost     float64
	// began is set once the request may have begun to run.
	began bool
	// sends counts the endpoints that the request was sent to.
	sends int

	// close and broken end the connection: after the answer, or because it is unusable.
	close  bool
	broken bool
	// headSent is set once bytes of an answer went to the caller.
	headSent bool
	// status is what the caller was told; zero for a cut connection.
	status int
}

// serve answers the request. The context ends when the caller leaves.
func (x *exchange) serve(ctx context.Context) {
	g := x.proxy
	size := int64(len(x.request.Body()))
	if g.bodyBytes.Add(size) > g.MaxBodyBytes {
		// Given back first: whoever hears of the refusal may find room at once.
		g.bodyBytes.Add(-size)
		x.answer(refuse(fasthttp.StatusServiceUnavailable, ReasonOutOfMemory, startingRetryAfter))
		return
	}
	defer g.bodyBytes.Add(-size)
	if v := x.admit(); v != nil {
		x.answer(v)
		return
	}
	// Past the deadline nothing more is done for the request.
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(clock.Now()))
	defer cancel()
	x.dispatch(ctx)
}

// admit decides whether the request is taken; nil if it is.
func (x *exchange) admit() *verdict {
	steps := []func() *verdict{x.readAsk, x.findRoute, x.checkKey, x.prepare, x.checkQuota}
	for _, step := range steps {
		if v := step(); v != nil {
			return v
		}
	}
	return nil
}

func (x *exchange) readAsk() *verdict {
	var err error
	x.ask, err = x.proxy.HeaderCodec.DecodeRequest(&x.request.Header)
	if err != nil {
		return refuse(fasthttp.StatusBadRequest, ReasonMalformed, 0)
	}
	x.table = x.proxy.table.Load()
	if x.table == nil {
		return refuse(fasthttp.StatusServiceUnavailable, ReasonStarting, startingRetryAfter)
	}
	return nil
}

func (x *exchange) findRoute() *verdict {
	x.route = x.table.MatchRoute(hostName(x.request.Header.Host()), pathOf(x.request.Header.RequestURI()))
	if x.route == nil {
		return x.deny(fasthttp.StatusNotFound, ReasonNoRoute)
	}
	return nil
}

// deny tells a caller that something does not exist, but only if this host knows so.
func (x *exchange) deny(status int, reason Reason) *verdict {
	if x.proxy.ConfigurationAge(x.arrived) > x.proxy.DenyMaxAge {
		return refuse(fasthttp.StatusServiceUnavailable, ReasonConfigurationUnconfirmed, staleRetryAfter)
	}
	return refuse(status, reason, 0)
}

// hostName is the host without its port, in lower case.
func hostName(host []byte) string {
	name, _, _ := strings.Cut(string(host), ":")
	return strings.ToLower(name)
}

func pathOf(uri []byte) string {
	path, _, _ := strings.Cut(string(uri), "?")
	return path
}

func (x *exchange) checkKey() *verdict {
	if x.route.Public || !x.table.HasOrganisations() {
		return nil
	}
	organisation, known := x.table.OrganisationByKeyHash(x.ask.KeyHash)
	if x.ask.KeyHash == "" || !known {
		return x.deny(fasthttp.StatusUnauthorized, ReasonUnknownKey)
	}
	if limit := x.proxy.KeyMaxAge; limit > 0 && x.proxy.ConfigurationAge(x.arrived) > limit {
		return refuse(fasthttp.StatusServiceUnavailable, ReasonConfigurationUnconfirmed, staleRetryAfter)
	}
	x.organisation = &organisation
	return nil
}

// prepare works out what the placement and the endpoint are told.
func (x *exchange) prepare() *verdict {
	patience := x.ask.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.arrived.Add(patience)
	x.fleet = split(x.route)
	x.priority = x.route.Priority
	if x.organisation != nil && x.organisation.Priority != nil {
		x.priority = *x.organisation.Priority
	}
	x.placing = balancer.Request{
		Fleet:        x.fleet,
		PromptTokens: x.ask.PromptTokens,
		OutputTokens: x.expectedOutput(),
	}
	var prefix balancer.Prefix
	for _, part := range x.ask.Parts {
		prefix = balancer.AppendPrefix(prefix, part.ID, part.Tokens)
		x.placing.Prefixes = append(x.placing.Prefixes, prefix)
	}
	x.proxy.demand.asked(x.arrived, x.fleet, x.ask.PromptTokens, x.placing.OutputTokens)
	return nil
}

// expectedOutput is the caller's guess, else half of the most that it allows.
func (x *exchange) expectedOutput() int {
	if x.ask.ExpectedOutput > 0 {
		return min(x.ask.ExpectedOutput, max(x.ask.OutputTokens, x.ask.ExpectedOutput))
	}
	return x.ask.OutputTokens / 2
}

func (x *exchange) checkQuota() *verdict {
	if x.organisation == nil {
		return nil
	}
	x.cost = quotaCost(&x.ask, x.organisation.Quota)
	d := x.proxy.Quota.Take(x.arrived, rand.Uint64(), x.organisation.Name, x.cost)
	if d.OK {
		return nil
	}
	v := refuse(fasthttp.StatusTooManyRequests, ReasonQuota, spread(d.Wait))
	v.quota, v.tokens = &d, x.cost
	x.cost = 0
	return v
}

// giveBack returns the tokens of a request that has not run.
func (x *exchange) giveBack() {
	if x.organisation != nil && x.cost > 0 {
		x.proxy.Quota.Refund(x.organisation.Name, x.cost)
		x.cost = 0
	}
}

// begin counts the request as having begun to run, once.
func (x *exchange) begin(now time.Time) {
	if x.began {
		return
	}
	x.began = true
	if x.organisation != nil {
		x.proxy.OnStarted(now, x.organisation.Name)
	}
}

// answer sends an answer of the gateway's own.
func (x *exchange) answer(v *verdict) {
	if !x.began {
		x.giveBack()
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	setVerdict(resp, v)
	x.proxy.HeaderCodec.EncodeRefusal(&resp.Header, x.ask.ID)
	x.write(resp)
	x.proxy.events.Refused(x, v)
}

// write sends a whole answer.
func (x *exchange) write(resp *fasthttp.Response) {
	if x.close {
		resp.SetConnectionClose()
	}
	x.status = resp.StatusCode()
	x.headSent = true
	c := x.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := resp.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		x.broken = true
	}
}

// cut ends the connection without the rest of the answer.
func (x *exchange) cut() {
	x.broken = true
	if !x.headSent {
		x.status = 0
	}
}
