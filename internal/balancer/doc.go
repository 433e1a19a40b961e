// Package balancer selects the endpoint that serves a request. It estimates the time to the
// first event from the requests that this host has in flight, the load that peers report, the
// prompt prefixes that endpoints are assumed to have cached, and the recent failures and
// slowness of endpoints. It does no I/O; time and randomness are arguments. It is designed for
// long prompts that share documents, where computing a prompt again delays every stream on the
// endpoint.
//
// It serves package proxy, for the pass-through interface. Package dispatcher, for the daemon's own
// chat and call interface, chooses endpoints with a route.Router.
package balancer
