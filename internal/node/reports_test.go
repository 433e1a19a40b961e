package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/peerudp"
	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/registry"
	"rattanchute/internal/speed"
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
	_, dropped, err := encodeWithinLimit(heartbeat.Datagram{Report: r})
	is.NoErr(err)
	is.Equal(dropped, "loads of the less busy endpoints")
	short := decodeWithinLimit(t, heartbeat.Datagram{Digest: d}).Digest
	is.Equal(short.Loads[0].InFlight, 3199) // the busiest endpoints are kept
	is.Equal(short.Endpoints.Since, short.Endpoints.AsOf)
}

func decodeWithinLimit(t *testing.T, d heartbeat.Datagram) heartbeat.Datagram {
	t.Helper()
	encoded, _, err := encodeWithinLimit(d)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := peerudp.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestTruncatedDigestKeepsEndpointChanges guards against followers that read the whole list of endpoints
// from the store for each digest of a leader with thousands of endpoints.
func TestTruncatedDigestKeepsEndpointChanges(t *testing.T) {
	is := is.New(t)
	d := &heartbeat.Digest{Endpoints: registry.Delta{Since: 1, AsOf: 9}}
	for i := range 3000 {
		id := fmt.Sprint("i-0123456789", i)
		d.Loads = append(d.Loads, balancer.Load{Fleet: "fleet", Endpoint: id, InFlight: 1 + i, PendingTokens: 4000, MemoryTokens: 60000})
		if i < 100 {
			e := &registry.Endpoint{ID: id, Fleet: "fleet", Address: "10.1.0.14:8221", DataCentre: "zone", Slots: 64}
			d.Endpoints.Changes = append(d.Endpoints.Changes, registry.EntryChange{Version: 9, ID: id, Endpoint: e})
		}
	}
	short := decodeWithinLimit(t, heartbeat.Datagram{Digest: d}).Digest
	is.Equal(len(short.Endpoints.Changes), 100)
	is.Equal(short.Endpoints.Since, d.Endpoints.Since)
	is.True(len(short.Loads) >= 250)
}

// TestSlownessOfEndpointsTakesLittleOfAMessage has more slow endpoints than are told.
func TestSlownessOfEndpointsTakesLittleOfAMessage(t *testing.T) {
	is := is.New(t)
	var statements []speed.Statement
	for i := range 3200 {
		statements = append(statements, speed.Statement{
			Fleet: "a-fleet-with-a-name", Endpoint: fmt.Sprint("i-0123456789", i), Percent: 1600, AgeMillis: 2999,
		})
	}
	without, _, err := encodeWithinLimit(heartbeat.Datagram{Report: &heartbeat.Report{}})
	is.NoErr(err)
	d := heartbeat.Datagram{Report: &heartbeat.Report{Speeds: speed.NewReport(statements)}}
	with, dropped, err := encodeWithinLimit(d)
	is.NoErr(err)
	is.Equal(dropped, "")
	is.True(len(with)-len(without) < 5000)
	is.True(withoutSpeeds(d).Report.Speeds == nil)
}
