// Package registry maintains an entry host's view of the endpoints: which exist, which are
// leaving, and which are missing. An endpoint is missing while it is not listed in the store but
// may merely have expired there during a store outage. The package performs no I/O.
package registry

import "time"

// Endpoint is an endpoint's description of itself. In JSON, durations are in nanoseconds.
type Endpoint struct {
	// ID identifies the endpoint. Nearly every start of an endpoint uses a new ID.
	ID         string `json:"id"`
	Fleet      string `json:"fleet"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Version is that of its software. Streams do not continue at another one.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	// Leaving is set once the endpoint accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// LeavesIn is the time that a leaving endpoint had left when it reported this; zero if
	// unknown.
	LeavesIn time.Duration `json:"leaves_in,omitempty"`
	// Reclaimable endpoints can be reclaimed on short notice, all those of a data centre at
	// once.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// StartMillis is when this run of the endpoint started, in Unix milliseconds; zero if
	// unknown.
	StartMillis int64 `json:"born,omitempty"`
	// WarmupLeft is how much longer the endpoint will be slow after its start.
	WarmupLeft time.Duration `json:"cold_for,omitempty"`
}
