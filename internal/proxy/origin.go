package proxy

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/clock"
	"rattanchute/internal/fleet"
	"rattanchute/internal/origin"
)

// unknownOriginRetryAfter is the Retry-After value for a caller that resumes a stream of which this host has not heard
// yet. Other hosts tell it about as soon.
const unknownOriginRetryAfter = 500 * time.Millisecond

// findOrigin finds out where the stream began, if the caller resumes one. The request is refused if
// that is unknown or if its route no longer leads there.
func (x *exchange) findOrigin() *errorResponse {
	if x.route.Kind != fleet.RouteStream || !x.info.isResumption() {
		return nil
	}
	known, found := x.proxy.Origins.Find(x.streamKey())
	if !found {
		known, found = x.deduceOrigin()
	}
	if !found {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonOriginUnknown, withJitter(unknownOriginRetryAfter))
	}
	x.origin = known
	if !slices.ContainsFunc(x.route.Split, func(w fleet.WeightedFleet) bool { return w.Fleet == known.Fleet }) {
		return newErrorResponse(fasthttp.StatusServiceUnavailable, ReasonNoEndpoint, withJitter(minRetryAfter))
	}
	return nil
}

// deduceOrigin returns the only possible origin of a stream that this host has not heard of; false if there are
// several. What this host knew before the caller came shows nothing: the stream may have begun since, at a version
// that is newer than that.
func (x *exchange) deduceOrigin() (origin.Origin, bool) {
	destination := x.table.Destination(x.route)
	if len(x.route.Split) != 1 || !x.proxy.Origins.DestinationIsCertain(clock.Now(), destination) {
		return origin.Origin{}, false
	}
	name := x.route.Split[0].Fleet
	version, only := x.proxy.OnlyVersion(x.arrived, name)
	if known, found := x.proxy.Origins.Find(x.streamKey()); found {
		// Heard of meanwhile.
		return known, true
	}
	// The route may have been moved during the wait.
	only = only && x.proxy.Origins.DestinationIsCertain(clock.Now(), destination)
	return origin.Origin{Fleet: name, Version: version}, only
}

// isResumption reports whether the caller has events of the stream already.
func (i *RequestInfo) isResumption() bool {
	last, err := strconv.ParseInt(i.LastEventID, 10, 64)
	return i.LastEventID != "" && (err != nil || last > 0)
}

// streamKey identifies the stream, over all requests of its caller for it.
func (x *exchange) streamKey() origin.Key {
	organisation, id := "", x.info.ID
	if x.organisation != nil {
		organisation = x.organisation.Name
	}
	if x.info.Resumes != "" {
		id = x.info.Resumes
	}
	return origin.KeyOf(organisation, id)
}

// recordOrigin records where the stream began, at its first event. From then on it continues only there. Of a
// relayed stream, the host that has relayed it does that.
func (a *attempt) recordOrigin(now time.Time) {
	x := a.exchange
	if x.relayed != nil {
		return
	}
	if x.origin == (origin.Origin{}) {
		x.origin = origin.Origin{Fleet: x.fleet, Version: a.choice.Endpoint.Version}
		x.balancerRequest.Version = x.origin.Version
	}
	x.proxy.Origins.Began(now, x.streamKey(), x.origin)
}
