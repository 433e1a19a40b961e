// Package balancer selects the endpoint that serves a request. The endpoints of a fleet are
// either engines, which run a language model and respond with a stream of events, or plain
// services, which send one response. The package estimates the time to the first event, or to the
// plain response, from the requests that this host has in flight, the load that peers report, the
// prompt prefixes that endpoints are assumed to have cached, and their recent slowness.
// Endpoints that fail are ejected: for some time they are chosen only if there is no other. The
// package does no I/O; time and randomness are arguments. It is designed for long prompts that
// share documents, where computing a prompt again delays every stream on the endpoint.
//
// It serves package proxy, for the pass-through interface. Package dispatcher, for the daemon's own
// chat and call interface, chooses endpoints with a route.Router.
package balancer
