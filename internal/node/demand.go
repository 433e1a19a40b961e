package node

import (
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/duty"
	"rattanchute/internal/fleet"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/registry"
)

func (n *Node) planSources() duty.Sources {
	names := make([]string, 0, len(n.Settings.DataCentres))
	for name := range n.Settings.DataCentres {
		names = append(names, name)
	}
	return duty.Sources{
		Configuration: func() *fleet.Configuration {
			t := n.proxy.Table()
			if t == nil {
				return nil
			}
			return t.Configuration()
		},
		Endpoints:   n.knownEndpoints,
		RateLimit:   n.rateLimit,
		Demand:      n.totalDemand,
		DataCentres: names,
	}
}

// rateLimit returns how many requests a second an endpoint accepts; false if it states no limit.
func (n *Node) rateLimit(e *registry.Endpoint) (perSecond float64, limited bool) {
	l := n.signals.Limit(balancer.InstanceOf(e))
	return l.PerSecond, l.Stated
}

// totalDemand returns the demand over all hosts if this host is a leader, as the holder of the
// duties' lease is.
func (n *Node) totalDemand(now time.Time) map[string]heartbeat.FleetDemand {
	return n.demand(now, true)
}

// demand returns the demand of this host and its followers or, if all is set and this host is a
// leader, of all hosts.
func (n *Node) demand(now time.Time, all bool) map[string]heartbeat.FleetDemand {
	sum := n.peers.Demand(now, all)
	for name, d := range n.proxy.Demand(now) {
		sum[name] = sum[name].Add(d)
	}
	return sum
}
