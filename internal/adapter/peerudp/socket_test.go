package peerudp

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/quota"
	"rattanchute/internal/registry"
	"rattanchute/internal/usage"
)

// largeReport returns the report of a host with requests at 20 endpoints and of 16
// organisations.
func largeReport() heartbeat.Datagram {
	r := &heartbeat.Report{
		Peer:   heartbeat.Peer{Name: "edge-zone-12", Incarnation: 1, Address: "10.1.0.1:7600"},
		Number: 1, WallMillis: 1_790_000_000_000,
		Quota: quota.SpendingReport{Spent: map[string]float64{}, Level: map[string]float64{}},
		Usage: []heartbeat.HostUsage{{
			Source: usage.Source{Name: "edge-zone-12", Incarnation: 1}, Windows: map[int64]usage.Counts{},
		}},
	}
	for i := range 16 {
		name := fmt.Sprint("organisation", i)
		r.Quota.Spent[name], r.Quota.Level[name] = 123456, 7890
		for w := range int64(3) {
			windows := r.Usage[0].Windows
			if windows[w] == nil {
				windows[w] = usage.Counts{}
			}
			windows[w][name] = 17
		}
	}
	for i := range 20 {
		r.Loads = append(r.Loads, balancer.Load{
			Fleet: "fleet", Endpoint: fmt.Sprint("i-abcdef", i), InFlight: 3, PendingTokens: 1200, MemoryTokens: 24000,
		})
	}
	for i := range 8 {
		prefix := balancer.Prefix{Key: 1 << 63, Tokens: 5000}
		r.Prefills = append(r.Prefills, balancer.Prefill{
			Fleet: "fleet", Endpoint: fmt.Sprint("i-abcdef", i), Prefixes: []balancer.Prefix{prefix, prefix},
		})
	}
	return heartbeat.Datagram{Report: r}
}

func TestReportArrivesAsItWasSent(t *testing.T) {
	is := is.New(t)
	receiver, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = receiver.Close() }()
	sender, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = sender.Close() }()
	sent := largeReport()
	datagram, err := Encode(sent)
	is.NoErr(err)
	is.NoErr(sender.Send(receiver.conn.LocalAddr().(*net.UDPAddr).String(), datagram))
	is.NoErr(receiver.conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	got, err := receiver.Receive(make([]byte, BufferBytes))
	is.NoErr(err)
	is.Equal(got, sent)
	_, err = Decode([]byte("{"))
	is.True(err != nil)
}

// largeDigest returns the digest of a leader with acknowledgements for 21 hosts, the loads of 140
// endpoints and 80 prefills, the most that one digest holds.
func largeDigest() heartbeat.Datagram {
	d := &heartbeat.Digest{
		Peer: heartbeat.Peer{
			Name: "edge-zone-1", Incarnation: 1_790_000_000_000, Address: "10.1.0.1:7600",
			DataCentre: "zone", MemoryBytes: 536 << 20,
		},
		Number: 1000, IntervalMillis: 252, TrueMillis: 1_790_000_000_000,
		Reachable: 87, Known: 87, Generation: 1000,
		Endpoints: registry.Delta{Since: 1000, AsOf: 1010, SkippedVersions: []registry.VersionRange{{From: 1000, To: 1010}}},
		Acks:      map[string]heartbeat.Ack{}, Levels: map[string]float64{},
	}
	for i := range 21 {
		d.Acks[fmt.Sprint("edge-zone-", i)] = heartbeat.Ack{Included: 1000, Configuration: 996, Endpoints: 996}
	}
	for i := range 16 {
		d.Levels[fmt.Sprint("organisation", i)] = 123456.5
	}
	for i := range 140 {
		d.Loads = append(d.Loads, balancer.Load{
			Fleet: "fleet", Endpoint: fmt.Sprint("i-abcdef", i), InFlight: 6, PendingTokens: 4000, MemoryTokens: 60000,
		})
	}
	for i := range 80 {
		prefix := balancer.Prefix{Key: uint64(i) << 50, Tokens: 5000}
		d.Prefills = append(d.Prefills, balancer.Prefill{
			Fleet: "fleet", Endpoint: fmt.Sprint("i-abcdef", i%140), Prefixes: []balancer.Prefix{prefix, prefix},
		})
	}
	return heartbeat.Datagram{Digest: d}
}

// TestDigestOfALargeDeploymentFitsADatagram checks that the digest of a large deployment
// can be sent, and that Encode reports a digest that does not fit, so that the sender can
// shorten it.
func TestDigestOfALargeDeploymentFitsADatagram(t *testing.T) {
	is := is.New(t)
	_, err := Encode(largeDigest())
	is.NoErr(err)
	huge := largeDigest()
	for range 20 {
		huge.Digest.Loads = append(huge.Digest.Loads, largeDigest().Digest.Loads...)
	}
	_, err = Encode(huge)
	is.True(errors.Is(err, ErrTooLarge))
}

// BenchmarkDigest measures encoding and decoding of a digest, and its size.
func BenchmarkDigest(b *testing.B) { benchmark(b, largeDigest()) }

// BenchmarkReport measures encoding and decoding of a report, and its size.
func BenchmarkReport(b *testing.B) { benchmark(b, largeReport()) }

func benchmark(b *testing.B, d heartbeat.Datagram) {
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		datagram, err := Encode(d)
		if err != nil {
			b.Fatal(err)
		}
		size = len(datagram)
		if _, err := Decode(datagram); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/message")
}
