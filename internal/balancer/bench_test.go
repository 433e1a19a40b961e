package balancer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoom measures adding up the room of a large fleet, whose loads a leader and another host report.
func BenchmarkRoom(b *testing.B) {
	table := newTestTable(1600)
	var loads []Load
	for _, e := range table.pool(modelFleet).ordered {
		loads = append(loads, Load{Fleet: modelFleet, Endpoint: e.known.ID, InFlight: 3})
	}
	table.SetPeerLoads(epoch, "leader", false, loads)
	table.SetPeerLoads(epoch, "follower", true, loads)
	b.ReportAllocs()
	for b.Loop() {
		table.Room(epoch, modelFleet)
	}
}

// BenchmarkChoose measures the choice for a prompt of two shared parts among the endpoints of a large
// fleet, some of which hold the document.
func BenchmarkChoose(b *testing.B) {
	for _, endpoints := range []int{16, 120, 3000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			table := newTestTable(endpoints)
			for i := range 1000 {
				r := prompt(fmt.Sprint("doc", i%200), 5000, 1000, i)
				c, _ := table.Choose(epoch, uint64(i), r)
				a := table.Begin(epoch, r, c)
				a.FirstEvent(epoch)
				a.End(epoch, ResultOK)
			}
			r := prompt("doc7", 5000, 1000, 5000)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Choose(epoch, uint64(i), r)
			}
		})
	}
}

// BenchmarkChooseBySpeed measures the choice among endpoints that state their slowness, for requests without a shared
// prompt and for prompts of two shared parts.
func BenchmarkChooseBySpeed(b *testing.B) {
	for _, c := range []struct {
		name    string
		request Request
	}{
		{"plain", Request{Fleet: plainFleet}},
		{"prompt", prompt("doc7", 5000, 1000, 5000)},
	} {
		b.Run(c.name, func(b *testing.B) {
			table := newTestTable(1600)
			for i := range 3200 {
				r := c.request
				if len(r.Prefixes) > 0 {
					r = prompt(fmt.Sprint("doc", i%200), 5000, 1000, i)
				}
				choice, _ := table.Choose(epoch, uint64(i), r)
				a := table.Begin(epoch, r, choice)
				a.ObserveSlowdown(epoch, 1+float64(i%4))
				a.FirstEvent(epoch)
				a.End(epoch, ResultOK)
			}
			now := epoch.Add(100 * time.Millisecond)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Choose(now, uint64(i), c.request)
			}
		})
	}
}
