package claim

import (
	"errors"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metricPrefix starts the names of all exported metrics.
const metricPrefix = "rattanchute_claim_"

// Register exports the metrics.
func (m *Metrics) Register(registerer prometheus.Registerer) error {
	return errors.Join(
		registerCounter(registerer, "store_writes_total", "Conditional writes of shards and segments that were tried.", &m.Writes),
		registerCounter(registerer, "store_written_bytes_total", "Bytes of all values that were tried to be written.", &m.WrittenBytes),
		registerCounter(registerer, "store_reads_total", "Reads of shards and segments.", &m.Reads),
		registerCounter(registerer, "store_conflicts_total", "Writes refused because another member wrote first.", &m.Conflicts),
		registerCounter(registerer, "store_lost_answers_total", "Writes without an answer.", &m.Lost),
		registerCounter(registerer, "group_failures_total", "Groups refused after a failure.", &m.Failures),
		registerCounter(registerer, "groups_total", "Groups of operations.", &m.Groups),
		registerCounter(registerer, "grouped_operations_total", "Operations in groups.", &m.GroupedOps),
		registerCounter(registerer, "forwards_total", "Operations sent to a shard's owner.", &m.Forwards),
		registerCounter(registerer, "forward_fallbacks_total", "Operations committed here because the owner did not answer.", &m.Fallbacks),
		registerCounter(registerer, "reports_dropped_total", "Reports lost because the backlog was full.", &m.Dropped),
		registerCounter(registerer, "segments_sealed_total", "Segments made of finished claims.", &m.Seals),
		registerCounter(registerer, "segments_merged_total", "Segments made of older segments.", &m.Merges),
		registerCounter(registerer, "segments_removed_total", "Segments deleted, or tried to be.", &m.Removals),
		registerCounter(registerer, "segments_left_total", "Segments whose deletion failed.", &m.Leftovers),
		registerCounter(registerer, "invariant_violations_total", "Broken invariants.", &m.Violations),
		registerCounter(registerer, "granted_total", "Claims granted.", &m.Granted),
		registerCounter(registerer, "completed_total", "Claims answered with a recorded answer.", &m.Completed),
		registerCounter(registerer, "in_progress_total", "Claims answered as in progress.", &m.InProgress),
		registerCounter(registerer, "unknown_total", "Claims answered as unknown.", &m.Unknown),
		registerCounter(registerer, "refused_total", "Claims refused.", &m.Refused),
		registerCounter(registerer, "expired_total", "Claims on keys whose answer is no longer kept.", &m.Expired),
		registerGauge(registerer, "shard_size_bytes", "Size of the shard that was written last.", &m.ShardBytes),
		registerGauge(registerer, "backlog_reports", "Reports that wait for the store.", &m.Backlog),
	)
}

func registerCounter(r prometheus.Registerer, name, help string, value *atomic.Uint64) error {
	opts := prometheus.CounterOpts{Name: metricPrefix + name, Help: help}
	return r.Register(prometheus.NewCounterFunc(opts, func() float64 { return float64(value.Load()) }))
}

func registerGauge(r prometheus.Registerer, name, help string, value *atomic.Int64) error {
	opts := prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}
	return r.Register(prometheus.NewGaugeFunc(opts, func() float64 { return float64(value.Load()) }))
}
