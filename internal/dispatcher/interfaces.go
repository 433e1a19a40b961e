package dispatcher

import (
	"context"
	"time"

	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/route"
)

// Router chooses endpoints and is informed of each attempt.
type Router interface {
	Table() *route.Table
	Choose(now time.Time, rnd uint64, q route.Query) (route.Choice, error)
	// Available reports whether an endpoint that was chosen earlier still accepts new work.
	Available(now time.Time, endpoint string) bool
	// Leaving reports whether an endpoint has said that it leaves, or is on a host that leaves.
	Leaving(now time.Time, endpoint string) bool
	// Opening reports whether all endpoints are closed for some time, and after which time a caller
	// that is refused should return.
	Opening(now time.Time, organisation, fleetName string) (returnIn time.Duration, closed bool)
	Begin(endpoint string)
	End(now time.Time, endpoint string, r route.Result)
	ObserveLoad(now time.Time, endpoint string, l engine.Load)
	// InFlight returns how many requests an endpoint is serving, and how many of them are this
	// daemon's.
	InFlight(now time.Time, endpoint string) (all, own int)
	FreeCapacity(now time.Time, organisation, fleetName string) []route.EndpointCapacity
}

// Limiter decides whether a request is accepted now.
type Limiter interface {
	Admit(now time.Time, a ratelimit.Request) ratelimit.Decision
	RecordAttempt(now time.Time, organisation, endpoint string)
	Done(now time.Time, e ratelimit.Completion)
	AllowRetry(now time.Time, organisation, endpoint string) bool
}

// Claims keeps the at-most-once records of non-idempotent calls.
type Claims interface {
	Acquire(ctx context.Context, k claim.Key, attempt string) claim.Result
	Complete(ctx context.Context, k claim.Key, attempt string, status int, body []byte) error
	Withdraw(ctx context.Context, k claim.Key, attempt string) error
}
