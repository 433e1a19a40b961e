package fleet

import (
	"strings"
	"time"
)

// RouteKind determines how often a request of a route may run.
type RouteKind int

// The kinds of route.
const (
	// RouteNonIdempotent requests run at most once.
	RouteNonIdempotent RouteKind = iota
	// RouteIdempotent requests may run more than once.
	RouteIdempotent
	// RouteStream requests are answered by a stream of numbered events. They run at most once,
	// unless the route is resumable.
	RouteStream
)

// Route maps the requests for an HTTP host name and a path prefix to fleets.
type Route struct {
	Name string
	Host string
	// PathPrefix is the prefix of the request paths, such as "/renew/".
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream, that callers
	// want.
	LatencyTarget time.Duration
	// Priority ranks the routes; 0 is served first.
	Priority int
	// Split divides the requests among fleets by weight.
	Split []WeightedFleet
	// MaxAttempts is the maximum number of times that one request is sent to an endpoint.
	MaxAttempts int
	// Public routes need no key. All others do, also if no organisation is declared.
	Public bool
	// CacheAffinity routes carry prompts whose parts are cached by the endpoints.
	CacheAffinity bool
	// Resumable streams may continue at another endpoint after the last event that was delivered.
	Resumable bool
	// EventGapTarget is the maximum desired time between two events of a stream.
	EventGapTarget time.Duration
}

// Retryable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// Complete reports whether the route says which requests it takes. The zero prefix would begin every path.
func (r *Route) Complete() bool { return r.Host != "" && strings.HasPrefix(r.PathPrefix, "/") }

// WeightedFleet is a fleet's share of a route.
type WeightedFleet struct {
	Fleet  string
	Weight float64
}

// CallerLimits limit what a caller may send and how long it may take. Package proxy uses its own
// default in place of a value that is not positive.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to receive a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// TokenQuota limits the tokens that an organisation spends on all entry hosts together.
type TokenQuota struct {
	// PerSecond is the refill rate in tokens; zero means no limit.
	PerSecond float64
	// Burst is the number of tokens that may be spent at once.
	Burst float64
	// DefaultCost is the cost in tokens of a request that declares no size.
	DefaultCost float64
	// ByRequest counts each request as one token, regardless of its size.
	ByRequest bool
}

// Engine describes the model engines of a fleet.
type Engine struct {
	// Slots is the batch size of an engine.
	Slots int
	// CacheTokens is the cache capacity for prompts and answers, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// BytesPerToken is the memory that one cached token takes.
	BytesPerToken int
	// LinkMbps is the bandwidth at which engines copy cached tokens from each other, in
	// megabits per second; zero if they cannot.
	LinkMbps float64
	// Moves is set if a running request can be moved to another engine.
	Moves bool
}

// Scaling limits the number of endpoints of a fleet in each data centre.
type Scaling struct {
	// Min and Max bound the number of endpoints in one data centre, reclaimable and on demand
	// together.
	Min int
	Max int
	// BootTime is the time until a new endpoint can serve requests.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable endpoint as a fraction of the
	// on-demand price; zero if there are no reclaimable endpoints.
	ReclaimablePriceRatio float64
	// Prices are the prices of an on-demand endpoint by data centre.
	Prices map[string]float64
}
