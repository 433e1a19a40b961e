package fleet

import "time"

// RouteKind tells how often a request of a route may run.
type RouteKind int

// The kinds of route.
const (
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = iota
	// RouteIdempotent requests may run more than once.
	RouteIdempotent
	// RouteStream requests are answered by a stream of numbered events. They run at
	// most once, unless the route is resumable.
	RouteStream
)

// Route maps a host and a path prefix to fleets.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, that callers want.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is served first.
	Priority int
	// Split shares the requests among fleets by weight.
	Split []WeightedFleet
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// CacheAffinity routes carry prompts whose parts endpoints cache.
	CacheAffinity bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// EventGapTarget is the longest wanted pause between two events of a stream.
	EventGapTarget time.Duration
}

// Retryable tells whether a request of the route may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// WeightedFleet is a fleet's part of a route.
type WeightedFleet struct {
	Fleet  string
	Weight float64
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// TokenQuota limits an organisation's tokens over all entry hosts.
type TokenQuota struct {
	// PerSecond is the refill rate in tokens; zero means no limit.
	PerSecond float64
	// Burst is what may be spent at once, in tokens.
	Burst float64
	// DefaultCost is what a request without a declared size counts.
	DefaultCost float64
	// ByRequest counts each request as one instead of by its tokens.
	ByRequest bool
}

// Engine describes the model engines of a fleet.
type Engine struct {
	// Slots is the size of an engine's batch.
	Slots int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// BytesPerToken is the memory of one cached token.
	BytesPerToken int
	// LinkMbps is the rate at which engines copy cached tokens from each other, in megabits
	// a second; zero if they cannot.
	LinkMbps float64
	// Moves tells whether a run can be moved to another engine while it goes on.
	Moves bool
}

// Scaling bounds the endpoints of a fleet in one data centre.
type Scaling struct {
	Min int
	Max int
	// BootTime is how long a new endpoint takes to serve.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable endpoint, as a part of an on-demand one.
	ReclaimablePriceRatio float64
	// Prices are those of an on-demand endpoint by data centre.
	Prices map[string]float64
}
