package app

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/invariant"
)

// invariants are the names whose series exist before the first breach, so that this one
// is an increase.
var invariants = []string{
	"delivered_offsets_contiguous",
	"non_idempotent_dispatched_once",
	"reclaim_plan_covers_all_streams",
	"reclaim_step_starts_in_time",
}

// reportBreaches counts each breach of an invariant and logs the first of each name, so
// that a daemon goes on serving what is not affected.
func (a *App) reportBreaches() {
	breaches := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "rattanchute",
		Name:      "invariant_breaches_total",
		Help:      "Breaches of invariants, by name.",
	}, []string{"name"})
	a.registry.MustRegister(breaches)
	for _, name := range invariants {
		breaches.WithLabelValues(name)
	}
	var logged sync.Map
	invariant.SetHandler(func(name, detail string) {
		breaches.WithLabelValues(name).Inc()
		if _, seen := logged.LoadOrStore(name, true); !seen {
			a.log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant breached")
		}
	})
}
