// Package cloud defines the interface to the cloud API: hosts that can be started and stopped,
// and notices that a host will be reclaimed.
package cloud

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/fleet"
)

// Notice announces that a host will be reclaimed at a deadline. It is final, even if the host
// list does not show it yet.
type Notice struct {
	// Sequence increases with each notice.
	Sequence uint64    `json:"sequence"`
	Host     string    `json:"host"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// Host is a host as shown in the host list, which lags behind the actual state.
type Host struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
	// PricePerHour is in thousandths of the site's currency unit.
	PricePerHour int64       `json:"price_per_hour_milli"`
	Instance     string      `json:"instance"`
	Phase        fleet.Phase `json:"phase"`
	Deadline     time.Time   `json:"deadline"`
}

// The errors of a Client.
var (
	// ErrStartRefused means that no such machine is available now.
	ErrStartRefused = errors.New("cloud: start refused")
	ErrUnknownHost  = errors.New("cloud: unknown host")
	// ErrUnavailable means that there was no answer, or one that cannot be interpreted, so that
	// a start or stop may or may not have taken effect.
	ErrUnavailable = errors.New("cloud: no answer, effect unknown")
)

// Client talks to the cloud API.
type Client interface {
	// Notices returns the notices with a sequence number greater than after.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
	Hosts(ctx context.Context) ([]Host, error)
	// Start requests a host. Starting a running host has no effect.
	Start(ctx context.Context, host string) error
	// Stop returns a host to the cloud. Stopping a stopped host has no effect.
	Stop(ctx context.Context, host string) error
}
