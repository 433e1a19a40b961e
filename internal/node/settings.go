// Package node runs an entry host on a platform that provides its settings, its configuration
// and its endpoints. It connects the proxy, the registry of endpoints, the messages between
// entry hosts and the singleton duties.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the platform's settings for one entry host.
type Settings struct {
	// Name is unique among the entry hosts.
	Name       string
	IP         string
	DataCentre string
	Region     string
	// DataCentres maps all data centres to their regions.
	DataCentres map[string]string
	// FrontAddress is the "ip:port" to which callers connect.
	FrontAddress string
	// ReadyAddress is the "ip:port" of the load balancer's readiness check.
	ReadyAddress string
	// PeerPort is the UDP port for messages between entry hosts, the same on all of them.
	PeerPort int
	// MetricsPort is the TCP port that serves metrics; zero disables it.
	MetricsPort int
	// FirstStart is true while the whole system is started for the first time.
	FirstStart bool
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxFiles is the limit on open file descriptors.
	MaxFiles int
	// StoreAddress is the "ip:port" of the object store.
	StoreAddress string
	// DutyAddress is the address of the platform's interface for singleton duties; empty if
	// there is none.
	DutyAddress string
	// ReportUsage and Scale enable the duties of reporting usage and of ordering endpoints.
	ReportUsage bool
	Scale       bool
	// RollOut enables orders to move a fleet to another software version.
	RollOut bool
	Bounds  Bounds
}

// Bounds are the time limits and amounts that the platform requires.
type Bounds struct {
	// ConfigApplyDelay is the maximum time until a new configuration is active.
	ConfigApplyDelay time.Duration
	// Drain is the maximum time for which requests may still be sent to a leaving endpoint.
	Drain time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// Contact is how long a host must have been undisturbed for the time limits to apply to it.
	Contact time.Duration
	// FailClosed rejects requests with a key while revocations cannot be known.
	FailClosed bool
	// RevocationDelay is the maximum time for which a removed key may still be used.
	RevocationDelay time.Duration
	// RetryRatio is the number of retries allowed per request.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetrySlack is the number of retries allowed per window in addition to RetryRatio.
	RetrySlack float64
	// QuotaWindow, QuotaOverrun and QuotaSlack define how far an organisation may exceed its
	// quota in each window: by a fraction of the quota plus a fixed amount.
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// Lease is the time within which hosts must not alternate as callers of the duties: if another
	// host may have made calls, this one waits until its own last call is this long ago.
	Lease time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// UsageReportDelay is the time after the end of a usage window by which it must be
	// reported.
	UsageReportDelay time.Duration
	// ExposureShare and ExposureSlack bound how many requests a version that turns out to be bad may get in a
	// roll-out: a share of all requests to the fleet from the order to its deadline, plus a number.
	ExposureShare float64
	ExposureSlack float64
}

// Validate returns an error that names each missing setting without which the host cannot run; nil
// if none is missing.
func (s *Settings) Validate() error {
	required := []struct{ name, value string }{
		{"name", s.Name},
		{"ip", s.IP},
		{"data centre", s.DataCentre},
		{"front address", s.FrontAddress},
		{"ready address", s.ReadyAddress},
		{"store address", s.StoreAddress},
	}
	var missing []error
	for _, r := range required {
		if r.value == "" {
			missing = append(missing, fmt.Errorf("settings: %s is missing", r.name))
		}
	}
	if s.Bounds.FailClosed && s.Bounds.RevocationDelay <= 0 {
		missing = append(missing, errors.New("settings: revocation delay is missing"))
	}
	return errors.Join(missing...)
}
