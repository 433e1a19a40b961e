package lease

import (
	"errors"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix starts the names of all exported metrics.
const metricPrefix = "rattanchute_lease_"

// Register exports the metrics of the runner of one lease.
func (m *Metrics) Register(registerer prometheus.Registerer, lease string) error {
	r := prometheus.WrapRegistererWith(prometheus.Labels{"lease": lease}, registerer)
	return errors.Join(
		registerCounter(r, "acquired_total", "Times that this member came to hold the lease.", &m.Acquired),
		registerCounter(r, "lost_total", "Times that this member ceased to hold the lease.", &m.Lost),
		registerCounter(r, "store_calls_total", "Calls to the store.", &m.Calls),
		registerCounter(r, "store_unanswered_total", "Calls to the store without an answer.", &m.Unanswered),
	)
}

func registerCounter(r prometheus.Registerer, name, help string, value *atomic.Uint64) error {
	opts := prometheus.CounterOpts{Name: metricPrefix + name, Help: help}
	return r.Register(prometheus.NewCounterFunc(opts, func() float64 { return float64(value.Load()) }))
}
