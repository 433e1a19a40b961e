package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/registry"
)

// Prefix stands for a prompt up to the end of one of its parts.
type Prefix struct {
	// Key is the same for equal beginnings of prompts.
	Key uint64
	// Tokens is the length of the beginning.
	Tokens int
}

// AppendPrefix returns the prefix that adds one part to the one before it.
func AppendPrefix(before Prefix, part string, tokens int) Prefix {
	var d xxhash.Digest
	d.ResetWithSeed(before.Key)
	_, _ = d.WriteString(part)
	return Prefix{Key: d.Sum64(), Tokens: before.Tokens + tokens}
}

// Request is what a choice depends on.
type Request struct {
	Fleet string
	// Prefixes are the prompt's, the shortest first; the last is the request's own.
	Prefixes     []Prefix
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Exclude names endpoints that were tried already.
	Exclude []string
}

// Choice is the endpoint that is to answer.
type Choice struct {
	Endpoint registry.Known
	// FirstEvent is the expected time to the first event, or to a plain answer.
	FirstEvent time.Duration
	// CorrectedFirstEvent is FirstEvent corrected by how far the fleet's first events were off of late.
	CorrectedFirstEvent time.Duration
	// UncachedTokens is the part of the prompt that has to be read, in tokens.
	UncachedTokens int
	// FetchFrom is the address of the endpoint that has cached Fetched tokens more of the
	// prompt; empty if copying them is not worth it.
	FetchFrom   string
	FetchTokens int
	// Queued tells that the endpoint has no free slot now.
	Queued bool
	// InFlight is the number of requests believed to be at the endpoint.
	InFlight int
}

// Result is how an attempt ended.
type Result int

// The results.
const (
	// ResultOK: the endpoint answered as it should.
	ResultOK Result = iota
	// ResultFailed: the endpoint broke off, spoiled its answer or did not answer.
	ResultFailed
	// ResultError: the endpoint answered with an error of its own.
	ResultError
	// ResultRefused: the endpoint did not run the request.
	ResultRefused
	// ResultUnreachable: no connection could be made.
	ResultUnreachable
	// ResultCancelled: the caller left; the endpoint is not to blame.
	ResultCancelled
	// ResultAddressReused: another endpoint has the address now.
	ResultAddressReused
)
