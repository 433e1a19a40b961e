// Package node runs one entry host on a platform that hands out its settings,
// configuration and endpoints: it wires the gateway, the registry, the messages between
// entry hosts and the duties.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Settings are what the platform tells one entry host.
type Settings struct {
	// Name is unique among the entry hosts.
	Name       string
	IP         string
	DataCentre string
	Region     string
	// DataCentres are all data centres with their regions.
	DataCentres map[string]string
	// FrontAddress is where callers connect, "ip:port".
	FrontAddress string
	// ReadyAddress is where the balancer asks for readiness.
	ReadyAddress string
	// PeerPort is a UDP port, the same on all entry hosts.
	PeerPort int
	// MetricsPort is the TCP port of the metrics; zero serves none.
	MetricsPort int
	// FirstStart is true while the whole system starts for the first time.
	FirstStart bool
	// MemoryBytes is the limit of the process's memory.
	MemoryBytes int64
	// MaxFiles is the limit of file descriptors.
	MaxFiles int
	// StoreAddress is the object store's, "ip:port".
	StoreAddress string
	// DutyAddress is that of the platform's interface for singleton duties; empty if none.
	DutyAddress string
	ReportUsage bool
	Scale       bool
	Bounds      Bounds
}

// Bounds are the times and amounts within which the platform wants things done.
type Bounds struct {
	// ConfigApplyDelay is the longest until a configuration is in force.
	ConfigApplyDelay time.Duration
	// Drain is the longest that requests may go to a leaving endpoint.
	Drain time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// Contact is how long a host must be undisturbed before time bounds hold for it.
	Contact time.Duration
	// FailClosed forbids requests with a key while revocations cannot be known.
	FailClosed bool
	// RevocationDelay is the longest that a removed key may be used.
	RevocationDelay time.Duration
	// RetryRatio is the number of repeats allowed for each request.
	RetryRatio  float64
	RetryWindow time.Duration
	// RetrySlack is the number of repeats allowed besides, in a window.
	RetrySlack float64
	// QuotaWindow, QuotaOverrun and QuotaSlack say how far an organisation may exceed
	// its quota: by a part of it and an amount, in each window.
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// Lease is the time in which two hosts must not take turns as the duties' holder.
	Lease time.Duration
	// UsageWindow is the length of a window of usage.
	UsageWindow time.Duration
	// UsageReportDelay is how long after its end a window must be reported.
	UsageReportDelay time.Duration
}

// Validate reports every setting without which the host cannot run.
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
			missing = append(missing, fmt.Errorf("settings: no %s", r.name))
		}
	}
	if s.Bounds.FailClosed && s.Bounds.RevocationDelay <= 0 {
		missing = append(missing, errors.New("settings: no time within which keys are revoked"))
	}
	return errors.Join(missing...)
}
