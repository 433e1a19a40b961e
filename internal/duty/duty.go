// Package duty does what one entry host does for all: it reports usage and orders
// endpoints, under a lease with a fencing number.
package duty

import (
	"context"
	"errors"
)

// Holder names who makes a call and under which fencing number.
type Holder struct {
	Name         string
	FencingToken uint64
}

// Order is the wanted number of endpoints of one kind in a data centre.
type Order struct {
	Fleet      string
	DataCentre string
	// Reclaimable endpoints cost less and are taken back on short notice.
	Reclaimable bool
	Count       int
}

// The errors of a Platform.
var (
	// ErrRefused: the call had no effect.
	ErrRefused = errors.New("duty: call refused")
	// ErrOutcomeUnknown: the call may have had an effect; it may be repeated as it is.
	ErrOutcomeUnknown = errors.New("duty: no answer, effect unknown")
	// ErrNoneAvailable: there are no such endpoints to be had now.
	ErrNoneAvailable = errors.New("duty: no endpoints available")
)

// Platform takes the calls of the duties' holder.
type Platform interface {
	// ReportUsage tells how many requests of each organisation began to run in a window.
	// The same report may be sent again.
	ReportUsage(ctx context.Context, by Holder, window int64, counts map[string]int64) error
	// Order asks for a number of endpoints; it replaces the last such order.
	Order(ctx context.Context, by Holder, o Order) error
}
