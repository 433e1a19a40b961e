package app

import (
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/claim"
)

// exportClaims registers the counters of the claims.
func exportClaims(reg prometheus.Registerer, m *claim.Metrics) {
	counters := []struct {
		name, help string
		read       func() uint64
	}{
		{"claim_writes_total", "Conditional writes of claim shards.", m.Writes.Load},
		{"claim_reads_total", "Reads of claim shards.", m.Reads.Load},
		{"claim_conflicts_total", "Writes refused because another member wrote first.", m.Conflicts.Load},
		{"claim_lost_answers_total", "Writes without an answer.", m.Lost.Load},
		{"claim_failures_total", "Store calls after which a group was refused.", m.Failures.Load},
		{"claim_grouped_total", "Operations committed in groups.", m.GroupedOps.Load},
		{"claim_forwards_total", "Operations sent to a shard's owner.", m.Forwards.Load},
		{"claim_granted_total", "Claims granted.", m.Granted.Load},
		{"claim_refused_total", "Claims refused.", m.Refused.Load},
		{"claim_unknown_total", "Claims answered as unknown.", m.Unknown.Load},
		{"claim_violations_total", "Broken invariants of claims.", m.Violations.Load},
	}
	for _, c := range counters {
		reg.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "rattanchute", Name: c.name, Help: c.help},
			func() float64 { return float64(c.read()) },
		))
	}
}
