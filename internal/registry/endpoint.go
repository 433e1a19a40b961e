// Package registry keeps what an entry host knows of the endpoints: which there are, which
// leave, and which are believed lost. It does no I/O.
package registry

import "time"

// Endpoint is what one endpoint says of itself.
type Endpoint struct {
	// ID is new for nearly each start of an endpoint.
	ID         string
	Fleet      string
	Address    string
	DataCentre string
	Slots      int
	// Leaving endpoints take no new requests.
	Leaving bool
	// LeavesIn is the time left to a leaving endpoint when it said so; zero if unknown.
	LeavesIn time.Duration
	// Reclaimable endpoints are taken back on short notice, a data centre's at once.
	Reclaimable bool
	// Born is the start of this run of the endpoint, in Unix milliseconds; zero if unknown.
	Born int64
	// ColdFor is how much longer the endpoint is slow after its start.
	ColdFor time.Duration
}
