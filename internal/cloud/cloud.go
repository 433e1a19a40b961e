// Package cloud is the port to the cloud API: hosts that can be started and stopped,
// and notices that a host is taken back.
package cloud

import (
	"context"
	"errors"
	"time"

	"rattanchute/internal/fleet"
)

// Notice announces that a host is taken away at a deadline. It is final, whatever the
// host list still says.
type Notice struct {
	// Sequence rises with each notice.
	Sequence uint64    `json:"sequence"`
	Host     string    `json:"host"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// Host is a host as the lagging list shows it.
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
	// ErrStartRefused means that there is no such machine to be had now.
	ErrStartRefused = errors.New("cloud: start refused")
	ErrUnknownHost  = errors.New("cloud: unknown host")
	// ErrUnavailable leaves it open whether a start or stop took effect.
	ErrUnavailable = errors.New("cloud: no answer, effect unknown")
)

// Client talks to the cloud API.
type Client interface {
	// Notices returns those after a sequence number.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
	Hosts(ctx context.Context) ([]Host, error)
	// Start asks for a host; starting a running one changes nothing.
	Start(ctx context.Context, host string) error
	// Stop gives a host back; stopping a stopped one changes nothing.
	Stop(ctx context.Context, host string) error
}
