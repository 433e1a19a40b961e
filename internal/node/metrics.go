package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/backoff"
	"rattanchute/internal/clock"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/quota"
)

// storeCalls counts calls to the store.
type storeCalls struct {
	// vector counts by kind, verb and outcome, for the metrics; counts by kind and verb, for the
	// log.
	vector *prometheus.CounterVec
	mu     sync.Mutex
	counts map[string]uint64
}

// snapshot returns the number of calls so far by kind and verb.
func (c *storeCalls) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (n *Node) newStoreCalls() *storeCalls {
	c := &storeCalls{counts: map[string]uint64{}, vector: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rattanchute_store_calls_total", Help: "Calls to the platform's store, by kind, verb and outcome.",
	}, []string{"kind", "verb", "outcome"})}
	n.registry.MustRegister(c.vector)
	return c
}

func (c *storeCalls) record(kind objectstore.Kind, verb string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	c.vector.WithLabelValues(string(kind), verb, outcome).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(kind)+" "+verb]++
}

// stateLogInterval is the pause between two log lines of logState.
const stateLogInterval = 10 * time.Second

// logState periodically logs the host's view of the cluster.
func (n *Node) logState(ctx context.Context) {
	for backoff.Pause(ctx, stateLogInterval) {
		now := clock.Now()
		reachable, known := n.peers.HostCounts(now)
		n.Log.Info().Int("peers_heard", reachable).Int("peers_known", known).
			Str("lead", n.peers.Leader(now)).
			Int("endpoints", len(n.endpoints.Known())).
			Int64("configuration_age_ms", n.proxy.ConfigurationAge(now).Milliseconds()).
			Any("store_calls", n.storeCalls.snapshot()).
			Uint64("messages_sent", n.messagesSent.Load()).
			Uint64("message_bytes_sent", n.peerBytesSent.Load()).
			Uint64("lines_dropped", n.LogDropped()).Msg("state")
	}
}

// registerGauges exports the host's view of the cluster, and some of its own state, as metrics.
func (n *Node) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("rattanchute_configuration_age_seconds", "Time since the configuration was confirmed as the newest.",
		func() float64 { return n.proxy.ConfigurationAge(clock.Now()).Seconds() })
	gauge("rattanchute_configuration_generation", "Generation of the configuration in force; 0 if none is.",
		func() float64 {
			if t := n.proxy.Table(); t != nil {
				return float64(t.Generation())
			}
			return 0
		})
	gauge("rattanchute_endpoints", "Endpoints known, those that leave included.",
		func() float64 { return float64(len(n.endpoints.Known())) })
	gauge("rattanchute_fleets_out_of_reach", "Fleets of which this host reaches no endpoint.",
		func() float64 { return float64(len(n.links.LostFleets())) })
	gauge("rattanchute_peers_heard", "Entry hosts heard of late, this one included.",
		func() float64 {
			reachable, _ := n.peers.HostCounts(clock.Now())
			return float64(reachable)
		})
	gauge("rattanchute_follows_lead", "1 while this host follows another one, 0 while it is its own lead.",
		func() float64 {
			if n.peers.IsLeader(clock.Now()) {
				return 0
			}
			return 1
		})
	gauge("rattanchute_peer_bytes_sent", "Bytes of reports and digests sent to other entry hosts.",
		func() float64 { return float64(n.peerBytesSent.Load()) })
	gauge("rattanchute_endpoint_requests_believed", "Requests believed to be at the endpoints that lately told their load.",
		func() float64 {
			estimated, _ := n.balancer.Compare(clock.Now())
			return float64(estimated)
		})
	gauge("rattanchute_endpoint_requests_reported", "Requests that those endpoints told.",
		func() float64 {
			_, reported := n.balancer.Compare(clock.Now())
			return float64(reported)
		})
	gauge("rattanchute_endpoints_said_leaving", "Endpoints that have said in a response that they leave.",
		func() float64 {
			return float64(n.signals.Counts(clock.Now()).Leaving)
		})
	gauge("rattanchute_quarantines", "Requests and combinations of prompt parts that are quarantined because they crash endpoints.",
		func() float64 { return float64(len(n.quarantine.Entries(clock.Now()))) })
	gauge("rattanchute_endpoints_closed", "Endpoints that want no requests from this host for some time.",
		func() float64 {
			return float64(n.signals.Counts(clock.Now()).Closed)
		})
	gauge("rattanchute_endpoints_slow", "Endpoints that state their slowness and are expected to take at least 1.5 times as long as usual.",
		func() float64 { return float64(n.balancer.SlowEndpoints(clock.Now())) })
	gauge("rattanchute_endpoints_limited", "Endpoints that state how many requests a second they accept.",
		func() float64 { return float64(n.signals.Counts(clock.Now()).Limited) })
	n.restores = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rattanchute_store_restores_total", Help: "Restores of the platform's store from an older copy that this host has seen.",
	})
	n.malformed.count = newMalformedCounter()
	n.registry.MustRegister(n.restores, n.malformed.count, quotaCollector{n.quota})
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

// quotaLeft describes the metric that quotaCollector exports.
var quotaLeft = prometheus.NewDesc("rattanchute_quota_tokens_left",
	"Tokens left in the quota, by organisation; below zero if overdrawn.", []string{"organisation"}, nil)

// quotaCollector exports the remaining tokens of each quota.
type quotaCollector struct{ ledger *quota.Ledger }

// Describe implements prometheus.Collector.
func (c quotaCollector) Describe(out chan<- *prometheus.Desc) { out <- quotaLeft }

// Collect implements prometheus.Collector.
func (c quotaCollector) Collect(out chan<- prometheus.Metric) {
	for name, level := range c.ledger.Levels(clock.Now()) {
		out <- prometheus.MustNewConstMetric(quotaLeft, prometheus.GaugeValue, level, name)
	}
}
