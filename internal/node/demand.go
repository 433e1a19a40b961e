package node

import (
	"time"

	"rattanchute/internal/duty"
	"rattanchute/internal/fleet"
	"rattanchute/internal/heartbeat"
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
		Endpoints:   n.endpoints.Known,
		Demand:      n.demand,
		DataCentres: names,
	}
}

// demand is that of all hosts.
func (n *Node) demand(now time.Time) map[string]heartbeat.FleetDemand {
	return n.demandOf(now, true)
}

// demandOf is that of this host and its followers, or of all hosts.
func (n *Node) demandOf(now time.Time, all bool) map[string]heartbeat.FleetDemand {
	sum := n.peers.Demand(now, all)
	for name, d := range n.proxy.Demand(now) {
		sum[name] = sum[name].Add(d)
	}
	return sum
}
