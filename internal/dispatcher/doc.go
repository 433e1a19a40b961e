// Package dispatcher serves callers' requests: it admits a request, chooses an endpoint, makes
// attempts through the engine interface until one gets a response or none may follow, and tells the
// caller one of the four outcomes of package outcome. It owns the goroutines of open streams; the
// decisions are made in packages route, ratelimit, claim, request and reclaim.
//
// It serves the daemon's own chat and call interface, which package app builds; package proxy serves
// the pass-through interface, which package node builds.
package dispatcher
