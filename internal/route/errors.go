package route

import "errors"

var (
	// ErrNoSelector means that no selector allows the organisation to reach the fleet.
	ErrNoSelector = errors.New("route: no selector allows the request")
	// ErrNoEndpoint means that every allowed endpoint is leaving, ejected or excluded.
	ErrNoEndpoint = errors.New("route: no endpoint available")
)
