package gossip

import "github.com/prometheus/client_golang/prometheus"

const metricsNamespace = "rattanchute"

type metrics struct {
	sent       *prometheus.CounterVec
	received   *prometheus.CounterVec
	dropped    prometheus.Counter
	violations prometheus.Counter
	platform   *prometheus.CounterVec
	generation prometheus.Gauge
	members    prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		sent:       counterVec("spread_messages_sent_total", "Messages to peers by kind and result.", "kind", "result"),
		received:   counterVec("spread_messages_received_total", "Messages from peers by kind.", "kind"),
		dropped:    counter("spread_messages_dropped_total", "Messages not sent because the queue was full."),
		violations: counter("spread_violations_total", "Invariants found broken."),
		platform:   counterVec("spread_platform_calls_total", "Calls to the platform by kind of object and result.", "kind", "result"),
		generation: gauge("spread_configuration_generation", "Generation of the configuration in force."),
		members:    gauge("spread_live_members", "Live members, this node included."),
	}
	if registerer != nil {
		registerer.MustRegister(m.sent, m.received, m.dropped, m.violations, m.platform, m.generation, m.members)
	}
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	opts := prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}
	return prometheus.NewCounterVec(opts, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
