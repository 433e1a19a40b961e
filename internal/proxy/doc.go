// Package proxy forwards callers' requests to endpoints: it matches the route, checks the
// key and the quota, has package balancer choose an endpoint, sends the request once or, where that
// is safe, again, and relays the response. A stream of numbered events can continue from another
// endpoint within the same response.
//
// Bodies are forwarded unchanged, and headers without those that concern one connection only. A
// caller gets one of: the endpoint's response; a refusal (400, 401, 404, 408, 413, 429, 431, 503),
// after which the request has not run and never will; or a failure (502, 504, a closed connection),
// after which it is unknown whether the request has run.
//
// It serves the pass-through interface, which package node builds; package dispatcher serves the
// daemon's own chat and call interface, which package app builds.
package proxy
