package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/reachability"
)

const (
	// linkCheckInterval is how often it is checked whether links to endpoints must be tested.
	linkCheckInterval = 100 * time.Millisecond
	// linkTestTimeout bounds one connection of a test.
	linkTestTimeout = 300 * time.Millisecond
)

// watchLinks tests the links to endpoints whenever a test is due.
func (n *Node) watchLinks(ctx context.Context) {
	for backoff.Pause(ctx, linkCheckInterval) {
		for _, test := range n.links.Due(clock.Now(), n.usableEndpoints) {
			n.tasks.Go(func() { n.testLinks(ctx, test) })
		}
	}
}

// usableEndpoints returns the endpoints of a fleet that requests may be sent to.
func (n *Node) usableEndpoints(fleetName string) []reachability.Endpoint {
	var usable []reachability.Endpoint
	for _, e := range n.knownEndpoints() {
		if !e.Leaving && e.Fleet == fleetName {
			usable = append(usable, reachability.Endpoint{ID: e.ID, Address: e.Address})
		}
	}
	return usable
}

// testLinks opens the connections of a test, and records which endpoints accept them.
func (n *Node) testLinks(ctx context.Context, test reachability.Test) {
	if !n.anyAccepts(ctx, test, test.First) && len(test.Rest) > 0 {
		n.anyAccepts(ctx, test, test.Rest)
	}
}

func (n *Node) anyAccepts(ctx context.Context, test reachability.Test, endpoints []reachability.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, linkTestTimeout)
	defer cancel()
	var accepted atomic.Bool
	var connecting sync.WaitGroup
	for _, e := range endpoints {
		connecting.Go(func() {
			if n.upstream.Accepts(ctx, e.Address) {
				accepted.Store(true)
				n.linkUp(test.Fleet)
				return
			}
			n.linkFailed(test.Fleet, e.ID)
		})
	}
	connecting.Wait()
	return accepted.Load()
}

// linkUp records that an endpoint of a fleet was heard. What attempts showed of its endpoints while they were out
// of reach is forgotten.
func (n *Node) linkUp(fleetName string) {
	lostFor := n.links.Heard(clock.Now(), fleetName)
	if lostFor == 0 {
		return
	}
	n.balancer.ForgetFailures(fleetName)
	n.linksChanged()
	n.Log.Info().Str("fleet", fleetName).Int64("lost_ms", lostFor.Milliseconds()).Msg("endpoints in reach again")
}

// linkFailed records that an endpoint of a fleet could not be reached.
func (n *Node) linkFailed(fleetName, endpoint string) {
	usable := len(n.usableEndpoints(fleetName))
	if !n.links.Unreached(clock.Now(), fleetName, endpoint, usable) {
		return
	}
	n.linksChanged()
	n.Log.Warn().Str("fleet", fleetName).Str("endpoint", endpoint).Int("endpoints", usable).
		Msg("endpoints out of reach")
}

// linksChanged tells the peers which fleets this host reaches.
func (n *Node) linksChanged() {
	n.peers.SetLostFleets(n.links.LostFleets())
	wake(n.reportNow)
}
