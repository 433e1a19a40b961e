package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/registry"
)

// TestTruncatedMessagesFit uses twice the planned number of endpoints, all changing at once.
func TestTruncatedMessagesFit(t *testing.T) {
	is := is.New(t)
	d := &heartbeat.Digest{Endpoints: registry.Delta{Since: 1, AsOf: 9}}
	r := &heartbeat.Report{}
	for i := range 3200 {
		id := fmt.Sprint("i-0123456789", i)
		l := balancer.Load{Fleet: "fleet", Endpoint: id, InFlight: i, PendingTokens: 4000, MemoryTokens: 60000}
		d.Loads, r.Loads = append(d.Loads, l), append(r.Loads, l)
		d.Endpoints.Changes = append(d.Endpoints.Changes, registry.EntryChange{Version: 9, ID: id})
	}
	for _, m := range []heartbeat.Datagram{{Digest: d}, {Report: r}} {
		_, err := peerudp.Encode(truncated(m))
		is.NoErr(err)
	}
	short := truncated(heartbeat.Datagram{Digest: d}).Digest
	is.Equal(short.Loads[0].InFlight, 3199) // the busiest endpoints are kept
	is.Equal(short.Endpoints.Since, short.Endpoints.AsOf)
}
