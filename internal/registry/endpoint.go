// Package registry keeps what an entry host knows of the endpoints: which there are, which
// leave, and which are believed lost. It does no I/O.
package registry

import "time"

// Endpoint is what one endpoint says of itself. In JSON, durations are in nanoseconds.
type Endpoint struct {
	// ID is new for nearly each start of an endpoint.
	ID         string `json:"id"`
	Fleet      string `json:"fleet"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// Leaving endpoints take no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// LeavesIn is the time left to a leaving endpoint when it said so; zero if unknown.
	LeavesIn time.Duration `json:"leaves_in,omitempty"`
	// Reclaimable endpoints are taken back on short notice, a data centre's at once.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// StartMillis is the start of this run of the endpoint, in Unix milliseconds; zero if unknown.
	StartMillis int64 `json:"born,omitempty"`
	// WarmupLeft is how much longer the endpoint is slow after its start.
	WarmupLeft time.Duration `json:"cold_for,omitempty"`
}
