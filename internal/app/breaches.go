package app

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/invariant"
)

// reportBreaches counts each breach of an invariant and logs the first of each name, so
// that a daemon goes on serving what is not affected.
func (a *App) reportBreaches() {
	breaches := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "rattanchute",
		Name:      "invariant_breaches_total",
		Help:      "Breaches of invariants, by name.",
	}, []string{"name"})
	a.registry.MustRegister(breaches)
	var logged sync.Map
	invariant.SetHandler(func(name, detail string) {
		breaches.WithLabelValues(name).Inc()
		if _, seen := logged.LoadOrStore(name, true); !seen {
			a.log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant breached")
		}
	})
}
