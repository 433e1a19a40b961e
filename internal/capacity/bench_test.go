package capacity

import (
	"fmt"
	"testing"

	"rattanchute/internal/fleet"
)

// BenchmarkPlan plans for 1,606 hosts in 11 data centres; every second host is ready.
func BenchmarkPlan(b *testing.B) {
	prices := []int64{100, 103, 106, 109, 112, 115, 118, 121, 124, 127, 130}
	hosts := testHosts(73, fleet.HostReclaimable, prices...)
	for i := range prices {
		prices[i] *= 3
	}
	hosts = append(hosts, testHosts(73, fleet.HostOnDemand, prices...)...)
	for i := range hosts {
		if i%2 == 0 {
			hosts[i].Phase = PhaseReady
		}
		hosts[i].Name = fmt.Sprintf("%d-%s", i, hosts[i].Name)
	}
	s := testSnapshot(hosts, 700)
	b.ReportAllocs()
	for b.Loop() {
		Plan(s)
	}
}
