package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/fairshare"
)

// ReasonOrganisationShare means that the fleet is short of room and the organisation has used its share.
const ReasonOrganisationShare Reason = "organisation_share"

// checkShare refuses the request if its fleet is short of room and its organisation has used its share.
func (x *exchange) checkShare() *errorResponse {
	r := fairshare.Request{
		Fleet: x.fleet, Route: x.route.Name, Rank: x.shareRank(),
		PromptTokens: x.info.PromptTokens, OutputTokens: x.balancerRequest.OutputTokens,
		Continues: x.info.LastEventID != "",
	}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	x.share = x.proxy.Shares.Decide(x.arrived, rand.Float64(), r)
	if x.share.Admit {
		return nil
	}
	return x.shareRefusal(x.share.RetryAfter)
}

// shareRank returns the number of priorities of the fleet's routes that are more urgent than the request's.
func (x *exchange) shareRank() int { return x.table.Ranks().Rank(x.fleet, x.priority) }

func (x *exchange) shareRefusal(retryAfter time.Duration) *errorResponse {
	e := newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonOrganisationShare, retryAfter)
	e.share = &x.share
	return e
}

// shedLimited refuses a request of an organisation that demands more than its share if it would wait for others, so
// that they don't wait for it.
func (x *exchange) shedLimited(choice *balancer.Choice) *errorResponse {
	if !x.share.Limited || fairshare.MayWait(choice.Backlog, x.route.LatencyTarget) {
		return nil
	}
	returnIn := x.proxy.Shares.Return(clock.Now(), rand.Float64(), x.fleet, x.organisation.Name, x.shareRank())
	e := x.shareRefusal(max(choice.Backlog, returnIn))
	e.estimate = choice
	return e
}

// recordServed records what a request took of its endpoint's room.
func (x *exchange) recordServed(now time.Time, a *attempt, result balancer.Result) {
	if result != balancer.ResultOK || a.peer != nil {
		return
	}
	x.proxy.Shares.RecordServed(now, fairshare.Served{
		Fleet: x.fleet, Route: x.route.Name, Seconds: now.Sub(a.sentAt).Seconds(),
		InFlight: a.choice.InFlight, Slots: a.choice.Endpoint.Slots,
		PromptTokens: x.info.PromptTokens, UncachedTokens: a.choice.UncachedTokens,
	})
}
