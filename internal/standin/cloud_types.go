package standin

import (
	"errors"
	"time"

	"rattanchute/internal/fleet"
)

// HostSpec describes a host that the cloud knows, running or not.
type HostSpec struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
	// PricePerHour is in thousandths of the site's currency unit.
	PricePerHour int64 `json:"price_per_hour_milli"`
	// Stopped means that the host does not run at the start of the site.
	Stopped bool `json:"stopped"`
}

// CloudConfig configures the delays of the cloud.
type CloudConfig struct {
	// ListLagMillis is the delay until the host list and the host objects show a change.
	ListLagMillis int `json:"list_lag_ms"`
	// BootMillis is the time from an accepted start request to a running host.
	BootMillis int `json:"boot_ms"`
}

// ListedHost is an entry of the host list, whose state lags behind the actual one.
type ListedHost struct {
	HostSpec
	fleet.HostState
}

// Notice announces that a host instance is reclaimed at a deadline.
type Notice struct {
	Sequence uint64    `json:"sequence"`
	Host     string    `json:"host"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// Placement selects hosts by data centre, class and kind; an empty field matches any.
type Placement struct {
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
}

func (p Placement) matches(s HostSpec) bool {
	return (p.DataCentre == "" || p.DataCentre == s.DataCentre) &&
		(p.Class == "" || p.Class == s.Class) &&
		(p.Kind == "" || p.Kind == s.Kind)
}

// Errors returned by the methods of Cloud.
var (
	ErrStartRefused = errors.New("standin: start refused")
	ErrUnknownHost  = errors.New("standin: unknown host")
	ErrHostRunning  = errors.New("standin: host is running")
)
