// Package backpressure decides which endpoints a host may send requests to, from what the endpoints
// say of themselves in their responses: that they leave, which is final for one run of an endpoint,
// and that they want no requests from this host for some time.
//
// After such a time, requests return gently: one at first, and twice as many with each response. Hosts
// add a random delay, so that they do not all return at once. The first is told to the other hosts; the
// second concerns one host only.
//
// The package performs no I/O: time, randomness and responses are arguments. It serves both the
// pass-through interface (packages balancer, proxy and node) and the daemon's own (packages route and
// dispatcher).
package backpressure
