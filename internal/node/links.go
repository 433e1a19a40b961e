package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/adapter/httpclient"
	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/reachability"
)

const (
	// linkCheckInterval is how often it is checked what is to be done about the links to endpoints.
	linkCheckInterval = 50 * time.Millisecond
	// defaultHealthPath is probed where the configuration names no path for health checks. What the endpoint
	// answers does not matter.
	defaultHealthPath = "/healthz"
)

// linkMetrics count what is done about the links to endpoints.
type linkMetrics struct {
	probes, takenBack prometheus.Counter
}

func newLinkMetrics(registry prometheus.Registerer) linkMetrics {
	m := linkMetrics{
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_link_probes_total", Help: "Health checks sent to endpoints to find out whether a link is up.",
		}),
		takenBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rattanchute_link_requests_taken_back_total",
			Help: "Requests that were taken back because nothing arrives from their fleet.",
		}),
	}
	registry.MustRegister(m.probes, m.takenBack)
	return m
}

// watchLinks does whatever is due about the links to endpoints.
func (n *Node) watchLinks(ctx context.Context) {
	for backoff.Pause(ctx, linkCheckInterval) {
		check := n.links.Check(clock.Now(), rand.Float64(), n.usableEndpoints)
		for _, fleetName := range check.Lost {
			n.linksLost(fleetName, "", len(n.usableEndpoints(fleetName)))
		}
		for _, fleetName := range check.Forgotten {
			n.linksChanged()
			n.Log.Info().Str("fleet", fleetName).Msg("endpoints no longer sought")
		}
		for _, fleetName := range check.Ask {
			n.askHeard(ctx, fleetName)
		}
		for _, takeBack := range check.TakeBack {
			takeBack()
		}
		n.linkMetrics.takenBack.Add(float64(len(check.TakeBack)))
		for _, p := range check.Probes {
			n.tasks.Go(func() { n.probeLink(ctx, p) })
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

// probeLink sends a probe and records what becomes of it.
func (n *Node) probeLink(ctx context.Context, p reachability.Probe) {
	n.linkMetrics.probes.Inc()
	probeCtx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	openedAt := clock.Now()
	err := n.upstream.Probe(probeCtx, p.Endpoint.Address, n.healthPath(p.Fleet))
	n.Log.Info().Str("fleet", p.Fleet).Str("endpoint", p.Endpoint.ID).Err(err).
		Int64("took_ms", clock.Now().Sub(openedAt).Milliseconds()).Msg("link probed")
	switch {
	case err == nil:
		n.linkUp(clock.Now(), p.Fleet, openedAt)
	case ctx.Err() == nil:
		n.linkFailed(p.Fleet, reachability.Failure{
			Endpoint: p.Endpoint.ID, Kind: probeFailure(err), New: true, Probe: true,
		})
	}
}

// probeFailure returns how a probe has failed.
func probeFailure(err error) reachability.FailureKind {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reachability.Refused
	case errors.Is(err, httpclient.ErrNotSent):
		return reachability.Unopened
	case errors.Is(err, context.DeadlineExceeded):
		return reachability.Silent
	}
	return reachability.Ended
}

// healthPath returns the path at which the endpoints of a fleet answer health checks.
func (n *Node) healthPath(fleetName string) string {
	if t := n.proxy.Table(); t != nil {
		for i := range t.Configuration().Fleets {
			if f := &t.Configuration().Fleets[i]; f.Name == fleetName && f.HealthPath != "" {
				return f.HealthPath
			}
		}
	}
	return defaultHealthPath
}

// linkUp records that bytes of a response of a fleet have arrived on a connection that was opened at a time. What
// attempts showed of its endpoints while they were out of reach is forgotten.
func (n *Node) linkUp(now time.Time, fleetName string, openedAt time.Time) {
	lostFor := n.links.Heard(now, fleetName, openedAt)
	if lostFor == 0 {
		return
	}
	n.balancer.ForgetFailures(fleetName)
	n.linksChanged()
	n.Log.Info().Str("fleet", fleetName).Int64("lost_ms", lostFor.Milliseconds()).Msg("endpoints in reach again")
}

// linkFailed records that an endpoint of a fleet was not reached.
func (n *Node) linkFailed(fleetName string, f reachability.Failure) {
	usable := len(n.usableEndpoints(fleetName))
	if n.links.Failed(clock.Now(), fleetName, f, usable) {
		n.linksLost(fleetName, f.Endpoint, usable)
	}
}

// linksLost tells that a fleet is out of reach. The endpoint is the last one that was not reached; empty if silence
// has shown it.
func (n *Node) linksLost(fleetName, endpoint string, usable int) {
	n.linksChanged()
	s := n.links.Summary(clock.Now(), fleetName)
	n.Log.Warn().Str("fleet", fleetName).Str("endpoint", endpoint).Int("endpoints", usable).
		Int("refused", s.Refused).Int("unopened", s.Unopened).Int("ended", s.Ended).Int("silent", s.Silent).
		Int("silent_requests", s.SilentRequests).Int64("heard_ago_ms", s.HeardAgo.Milliseconds()).
		Msg("endpoints out of reach")
}

// linksChanged tells the peers which fleets this host reaches.
func (n *Node) linksChanged() {
	n.linksMu.Lock()
	defer n.linksMu.Unlock()
	n.peers.SetLostFleets(n.links.LostFleets())
	wake(n.reportNow)
}
