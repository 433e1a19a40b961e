package route

import "errors"

var (
	// ErrNoSelector means that no selector lets the organisation reach any endpoint of the fleet.
	ErrNoSelector = errors.New("route: no selector allows the request")
	// ErrNoEndpoint means that every allowed endpoint is ejected, excluded or on a host that is
	// not live.
	ErrNoEndpoint = errors.New("route: no endpoint available")
)
