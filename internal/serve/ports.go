package serve

import (
	"context"
	"time"

	"rattanchute/internal/admit"
	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/route"
)

// Router chooses endpoints and is told of each attempt.
type Router interface {
	Table() *route.Table
	Choose(now time.Time, rnd uint64, q route.Query) (route.Choice, error)
	// Usable tells whether an endpoint that was chosen earlier still takes new work.
	Usable(now time.Time, endpoint string) bool
	Begin(endpoint string)
	End(now time.Time, endpoint string, r route.Result)
	ObserveLoad(now time.Time, endpoint string, l engine.Load)
	// Running is how many requests an endpoint holds, and how many of them are ours.
	Running(now time.Time, endpoint string) (all, own int)
	Rooms(now time.Time, organisation, fleetName string) []route.Room
}

// Admitter decides whether a request is taken now.
type Admitter interface {
	Admit(now time.Time, a admit.Ask) admit.Decision
	Attempted(now time.Time, organisation, endpoint string)
	Done(now time.Time, e admit.Ended)
	AllowRetry(now time.Time, organisation, endpoint string) bool
}

// Claims keeps the at-most-once records of non-idempotent calls.
type Claims interface {
	Acquire(ctx context.Context, k claim.Key, attempt string) claim.Result
	Complete(ctx context.Context, k claim.Key, attempt string, status int, body []byte) error
	Release(ctx context.Context, k claim.Key, attempt string) error
}
