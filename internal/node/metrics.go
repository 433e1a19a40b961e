package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/clock"
)

// registerGauges has the host's beliefs served as metrics.
func (n *Node) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("rattanchute_configuration_age_seconds", "Time since the configuration was confirmed as the newest.",
		func() float64 { return n.gateway.Age(clock.Now()).Seconds() })
	gauge("rattanchute_configuration_generation", "Generation of the configuration in force; 0 if none is.",
		func() float64 {
			if t := n.gateway.Table(); t != nil {
				return float64(t.Generation())
			}
			return 0
		})
	gauge("rattanchute_endpoints", "Endpoints known, those that leave included.",
		func() float64 { return float64(len(n.endpoints.Known())) })
	gauge("rattanchute_peers_heard", "Entry hosts heard of late, this one included.",
		func() float64 {
			heard, _ := n.peers.Counts(clock.Now())
			return float64(heard)
		})
	gauge("rattanchute_lease_held", "1 while this host holds the duties.",
		func() float64 {
			if n.lease == nil {
				return 0
			}
			if _, held := n.lease.Valid(clock.Now()); held {
				return 1
			}
			return 0
		})
	gauge("rattanchute_log_lines_dropped", "Log lines not written as the output did not keep up.",
		func() float64 { return float64(n.LogDropped()) })
}
