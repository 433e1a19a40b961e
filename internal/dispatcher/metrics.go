package dispatcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the Prometheus metrics of a Service. NewMetrics registers them.
type Metrics struct {
	InFlight         prometheus.Gauge
	Requests         *prometheus.CounterVec
	Refused          *prometheus.CounterVec
	Attempts         *prometheus.CounterVec
	EndChecks        *prometheus.CounterVec
	RetriesRefused   prometheus.Counter
	DroppedChunks    prometheus.Counter
	RecomputedTokens prometheus.Counter
	PrefilledTokens  prometheus.Counter
	Moves            *prometheus.CounterVec
	FirstToken       prometheus.Histogram
	BetweenTokens    prometheus.Histogram
}

// latencyBuckets are in seconds. The latency targets 0.046 and 0.47 are bucket boundaries.
var latencyBuckets = []float64{0.001, 0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.47, 1, 2, 5, 10}

// NewMetrics creates the metrics and registers them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		InFlight: prometheus.NewGauge(gauge("requests_in_flight", "Requests now being served.")),
		Requests: counterVec("requests_total", "Requests ended, by kind and outcome.", "kind", "outcome"),
		Refused:  counterVec("refused_total", "Requests refused, by code.", "code"),
		Attempts: counterVec("attempts_total", "Attempts ended, by result.", "result"),
		EndChecks: counterVec("end_checks_total",
			"Calls' responses that ended with their connection, by whether their endpoint was still there.", "presence"),
		RetriesRefused:   prometheus.NewCounter(counter("retries_refused_total", "Retries not made because a retry budget was spent.")),
		DroppedChunks:    prometheus.NewCounter(counter("dropped_chunks_total", "Late or crossed chunks dropped.")),
		RecomputedTokens: prometheus.NewCounter(counter("recomputed_tokens_total", "Output tokens made again after delivery.")),
		PrefilledTokens:  prometheus.NewCounter(counter("prefilled_tokens_total", "Prompt tokens computed by engines.")),
		Moves:            counterVec("moves_total", "Streams moved off leaving endpoints, by way.", "way"),
		FirstToken:       prometheus.NewHistogram(seconds("first_token_seconds", "Time to the first token.")),
		BetweenTokens:    prometheus.NewHistogram(seconds("between_tokens_seconds", "Time between tokens.")),
	}
	reg.MustRegister(m.InFlight, m.Requests, m.Refused, m.Attempts, m.EndChecks, m.RetriesRefused, m.DroppedChunks,
		m.RecomputedTokens, m.PrefilledTokens, m.Moves, m.FirstToken, m.BetweenTokens)
	m.initSeries()
	return m
}

const namespace = "rattanchute"

func gauge(name, help string) prometheus.GaugeOpts {
	return prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
}

func counter(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(counter(name, help), labels)
}

func seconds(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}
}

func observe(h prometheus.Histogram, d time.Duration) { h.Observe(d.Seconds()) }
