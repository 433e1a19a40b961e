// Package backpressure decides which endpoints a host may send requests to, from what the endpoints say in
// their responses. An endpoint announces its drain: it is leaving, which is final for one run of it. Or it
// asks for a pause with a Retry-After: it is closed to this host until then, and open otherwise.
//
// After a pause, requests return in a slow start: one at first, and twice as many with each response. Hosts
// add jitter to the end of the pause, so that they do not all return at once. Hosts report leaving
// endpoints to each other; a pause concerns one host only.
//
// An endpoint may also state a rate limit, which concerns all hosts together. A few hosts then share it, each
// with a token bucket, and the others send it nothing. It ends with the first response that states none.
//
// The package performs no I/O: time, randomness and responses are arguments. It serves both the
// pass-through interface (packages balancer, proxy and node) and the daemon's own (packages route and
// dispatcher).
package backpressure
