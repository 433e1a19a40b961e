// Package duty performs the singleton duties, which one entry host performs for all: it reports
// usage and orders endpoints from the platform, under a lease with a fencing token.
package duty

import (
	"context"
	"errors"
)

// Holder identifies the lease holder that makes a call, with its fencing token.
type Holder struct {
	Name         string
	FencingToken uint64
}

// Order asks the platform for a number of endpoints of one fleet in a data centre, either
// reclaimable or on demand.
type Order struct {
	Fleet      string
	DataCentre string
	// Reclaimable endpoints cost less and can be reclaimed at short notice.
	Reclaimable bool
	Count       int
}

// The errors of a Platform.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("duty: call refused")
	// ErrOutcomeUnknown means that the call may have had an effect. The same call may be made
	// again.
	ErrOutcomeUnknown = errors.New("duty: no answer, effect unknown")
	// ErrNoneAvailable means that the platform has no such endpoints available now.
	ErrNoneAvailable = errors.New("duty: no endpoints available")
)

// Platform receives the calls of the lease holder.
type Platform interface {
	// ReportUsage reports how many requests of each organisation started in a window. It is
	// idempotent for the same counts.
	ReportUsage(ctx context.Context, by Holder, window int64, counts map[string]int64) error
	// Order requests a number of endpoints. It replaces the previous order with the same fleet, data
	// centre and value of Reclaimable.
	Order(ctx context.Context, by Holder, o Order) error
}
