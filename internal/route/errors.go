package route

import "errors"

var (
	// ErrNoSelector means that no selector lets the organisation reach the fleet.
	ErrNoSelector = errors.New("route: no selector allows the request")
	// ErrNoEndpoint means that each allowed endpoint is leaving, ejected or excluded.
	ErrNoEndpoint = errors.New("route: no endpoint available")
)
