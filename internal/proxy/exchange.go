package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
	"rattanchute/internal/origin"
	"rattanchute/internal/relay"
	"rattanchute/internal/route"
)

const (
	// startingRetryAfter is the Retry-After value while the host has no configuration, or no memory
	// for the request body.
	startingRetryAfter = 500 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After value while the host cannot confirm its
	// configuration.
	unconfirmedRetryAfter = time.Second
	// defaultTimeout is used for a caller that does not state how long it waits.
	defaultTimeout = 30 * time.Second
)

// exchange is one request of a caller and its response.
type exchange struct {
	conn    *conn
	proxy   *Proxy
	request *fasthttp.Request
	arrived time.Time
	// holding counts the memory of the body; nil if there is none.
	holding *bodybudget.Holding
	// hasManyFields is set if the header has so many fields that their memory is reserved.
	hasManyFields bool
	// watch is nil until the request has been read.
	watch *callerWatch

	info         RequestInfo
	table        *route.Table
	route        *fleet.Route
	organisation *fleet.Organisation
	fleet        string
	// origin is where the stream began; zero before its first event.
	origin          origin.Origin
	balancerRequest balancer.Request
	// fingerprintText is empty until fingerprint is called.
	fingerprintText string
	priority        int
	// probe is set if the request is quarantined and is sent to find out whether it still crashes endpoints.
	probe bool
	// deadline is the earlier of the caller's deadline and the end of the route's timeout.
	deadline time.Time
	// tokenCost is what the request counts against its organisation's quota; zero without an
	// organisation, if the quota refused the request, and once the tokens are refunded.
	tokenCost float64
	// share is the decision on the organisation's share; zero for a relayed request.
	share fairshare.Decision
	// started is set once the request may have started to run.
	started bool
	// counted is set once the request is counted towards usage.
	counted bool
	// sends counts the finished attempts in which the request may have reached the endpoint, and tried names the
	// endpoints of these.
	sends int
	tried []string
	// retryReserved is set while a further attempt is reserved in the retry budget.
	retryReserved atomic.Bool
	// allowedRetry is the number of sends after which the retry budget last allowed a further attempt; zero for none.
	allowedRetry int
	// failedPeers are the peers that the request was relayed to and that could not send it.
	failedPeers []string
	// relayed is what the host that has relayed the request says; nil if it comes from its caller.
	relayed *relay.Request

	// close ends the connection after the response; broken marks it as unusable.
	close  bool
	broken bool
	// headSent is set when the proxy begins to write a response to the caller.
	headSent bool
	// continuation decides what may follow in a stream.
	continuation continuation
	// status is the status sent to the caller; zero before the response and for a connection that is
	// closed without one.
	status int
}

// serve answers the request. The context ends when the caller disconnects.
func (x *exchange) serve(ctx context.Context) {
	admit := x.admit
	if x.relayed != nil {
		admit = x.admitRelayed
	}
	if e := admit(); e != nil {
		x.sendError(e)
		return
	}
	// Work for the request stops at its deadline.
	ctx, cancel := context.WithTimeout(ctx, x.deadline.Sub(clock.Now()))
	defer cancel()
	x.dispatch(ctx)
}

// refundQuota returns the quota tokens of a request that has not run, unless that was done before.
func (x *exchange) refundQuota() {
	if x.organisation != nil && x.tokenCost > 0 {
		x.proxy.Quota.Refund(x.organisation.Name, x.tokenCost)
		x.tokenCost = 0
	}
}

// markStarted records that the request has started to run, and counts it towards the usage of its
// organisation, once.
func (x *exchange) markStarted(now time.Time) {
	x.started = true
	if x.counted {
		return
	}
	x.counted = true
	if x.organisation != nil && x.relayed == nil {
		x.proxy.OnStarted(now, x.organisation.Name)
	}
}

// markUnanswered records that the request may have started to run although its endpoint has not shown
// it. A stream without a first event is not counted towards usage: on a busy fleet most of those were
// still queued.
func (x *exchange) markUnanswered(now time.Time) {
	if x.route.Kind == fleet.RouteStream {
		x.started = true
		return
	}
	x.markStarted(now)
}

// sendError sends an error response of the proxy itself, and refunds the quota tokens if the request
// cannot have run.
func (x *exchange) sendError(e *errorResponse) {
	if !x.started {
		x.refundQuota()
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	fillErrorResponse(resp, e)
	x.proxy.HeaderCodec.EncodeRefusal(&resp.Header, x.info.ID)
	if x.conn.server.relay {
		resp.Header.Set(relay.Header, relay.Encode(x.relayRefusal(e)))
	}
	// Counted first, so that whoever has the response finds it in the metrics.
	x.proxy.telemetry.Refused(x, e)
	x.sendResponse(resp)
}

// sendResponse sends a complete response.
func (x *exchange) sendResponse(resp *fasthttp.Response) {
	x.announceClose(&resp.Header)
	x.status = resp.StatusCode()
	x.headSent = true
	w := x.conn.writer
	err := resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		x.broken = true
	}
}

// abort marks the connection so that it is closed without the rest of the response.
func (x *exchange) abort() {
	x.broken = true
	if !x.headSent {
		x.status = 0
	}
}
