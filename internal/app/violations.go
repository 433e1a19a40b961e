package app

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/invariant"
)

// knownInvariants are the names whose metric series exist from the start, so that the first
// violation shows as an increase of the counter.
var knownInvariants = []string{
	"delivered_offsets_contiguous",
	"non_idempotent_dispatched_once",
	"reclaim_plan_covers_all_streams",
	"reclaim_step_starts_in_time",
}

// handleInvariantViolations installs a handler for the whole process. It counts each violation
// of an invariant and logs the first of each name, instead of ending the process, so that the
// daemon still serves the requests that are not affected.
func (a *App) handleInvariantViolations() {
	violations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "rattanchute",
		Name:      "invariant_breaches_total",
		Help:      "Breaches of invariants, by name.",
	}, []string{"name"})
	a.registry.MustRegister(violations)
	for _, name := range knownInvariants {
		violations.WithLabelValues(name)
	}
	var logged sync.Map
	invariant.SetHandler(func(name, detail string) {
		violations.WithLabelValues(name).Inc()
		if _, seen := logged.LoadOrStore(name, true); !seen {
			a.log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant violated")
		}
	})
}
