// Package dispatcher runs callers' requests: it admits a request, chooses an endpoint,
// drives the attempts of package request against the engine port, and tells the caller
// one of the four outcomes. It owns the goroutines of open streams; the decisions
// are those of packages route, admit, claim, request and reclaim.
package dispatcher
