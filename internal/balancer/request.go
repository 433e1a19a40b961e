package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/registry"
)

// Prefix identifies the start of a prompt up to the end of one of its parts.
type Prefix struct {
	// Key is a hash that is equal for equal starts of prompts that consist of the same parts.
	Key uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// AppendPrefix returns the prefix that extends the previous one by a part.
func AppendPrefix(before Prefix, part string, tokens int) Prefix {
	var d xxhash.Digest
	d.ResetWithSeed(before.Key)
	_, _ = d.WriteString(part)
	return Prefix{Key: d.Sum64(), Tokens: before.Tokens + tokens}
}

// Request is what a choice depends on.
type Request struct {
	Fleet string
	// Version restricts the choice to endpoints with this software; empty for any.
	Version string
	// Permitted restricts the choice, and the endpoints that prompts are copied from; nil for no restriction. It is
	// called under the lock of the fleet.
	Permitted func(*registry.Endpoint) bool
	// Prefixes are the prefixes of the prompt, the shortest first; the last one is the whole
	// prompt.
	Prefixes     []Prefix
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// EventGapTarget is the longest wanted pause between two events of a stream; zero for none.
	EventGapTarget time.Duration
	// Exclude names endpoints that were already tried.
	Exclude []string
}

// Choice is the endpoint chosen for a request.
type Choice struct {
	Endpoint registry.Known
	// FirstEvent is the expected time to the first event, or to the answer of a plain request.
	FirstEvent time.Duration
	// CorrectedFirstEvent is FirstEvent times the slowness that the fleet's first events showed
	// recently, at most one hour. The factor is 1 for a fleet of plain services, whose slowness is
	// tracked only for each endpoint.
	CorrectedFirstEvent time.Duration
	// Backlog is the part of CorrectedFirstEvent for which the request waits for others.
	Backlog time.Duration
	// UncachedTokens is the part of the prompt that an engine has to compute, at least 1; zero for a
	// plain service.
	UncachedTokens int
	// FetchFrom is the address of the endpoint that has FetchTokens more of the prompt cached;
	// empty if copying them is not possible or not worthwhile.
	FetchFrom   string
	FetchTokens int
	// Queued means that the endpoint has no free slot or not enough free KV memory now.
	Queued bool
	// InFlight is the estimated number of requests in flight at the endpoint.
	InFlight int
	// LastingSlowness and MomentSlowness are by how much longer the endpoint was expected to take, always and at this
	// moment; 1 if it states nothing.
	LastingSlowness float64
	MomentSlowness  float64
	// usual is FirstEvent at the usual speed, and pendingTokens what the endpoint has yet to compute for others.
	usual         time.Duration
	pendingTokens int
}

// RelativeWork returns how much longer the first event of the request takes than that of one whose prompt is cached, if
// neither waits; 1 for a plain service.
func (c *Choice) RelativeWork() float64 {
	return 1 + float64(prefillTime(c.UncachedTokens))/float64(baseFirstEvent)
}

// Result is how an attempt ended.
type Result int

// The results.
const (
	// ResultOK means that the endpoint answered correctly.
	ResultOK Result = iota
	// ResultFailed means that the endpoint broke off, sent a malformed answer or did not
	// answer.
	ResultFailed
	// ResultError means that the endpoint answered with an error of its own.
	ResultError
	// ResultRefused means that the endpoint did not run the request.
	ResultRefused
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultCancelled means that the caller cancelled the request, which is not the endpoint's
	// fault.
	ResultCancelled
	// ResultAddressReused means that another endpoint has the address now.
	ResultAddressReused
)
