package route

import "errors"

var (
	// ErrNoSelector means that no selector lets the organisation reach any endpoint of the fleet.
	ErrNoSelector = errors.New("route: no selector allows the request")
	// ErrNoEndpoint means that every allowed endpoint is ejected, excluded, leaving, closed for some time,
	// or on a host that is not live.
	ErrNoEndpoint = errors.New("route: no endpoint available")
	// ErrLeaving and ErrClosed mean that an endpoint has said in a response that it accepts no more
	// requests, or none for some time.
	ErrLeaving = errors.New("route: endpoint is leaving")
	ErrClosed  = errors.New("route: endpoint is closed for some time")
)
