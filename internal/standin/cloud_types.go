package standin

import (
	"errors"
	"time"

	"rattanchute/internal/fleet"
)

// HostSpec is a host that the cloud knows, running or not.
type HostSpec struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
	// PricePerHour is in thousandths of the site's currency unit.
	PricePerHour int64 `json:"price_per_hour_milli"`
	// Stopped leaves the host off at the start.
	Stopped bool `json:"stopped"`
}

// CloudConfig sets how late the cloud tells of changes.
type CloudConfig struct {
	// ListLagMillis is how late the host list and the host objects follow.
	ListLagMillis int `json:"list_lag_ms"`
	// BootMillis is the time from an accepted start to a running host.
	BootMillis int `json:"boot_ms"`
}

// ListedHost is a host as the lagging list shows it.
type ListedHost struct {
	HostSpec
	fleet.HostState
}

// Notice announces that a host is taken away at a deadline.
type Notice struct {
	Sequence uint64    `json:"sequence"`
	Host     string    `json:"host"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// Placement names what a start can be refused for; an empty field matches all.
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

// The errors of a Cloud.
var (
	ErrStartRefused = errors.New("standin: start refused")
	ErrUnknownHost  = errors.New("standin: unknown host")
	ErrHostRunning  = errors.New("standin: host is running")
)
