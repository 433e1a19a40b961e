package bodybudget

import "github.com/prometheus/client_golang/prometheus"

// collector exports the state of a Budget.
type collector struct{ budget *Budget }

var (
	limitDesc = prometheus.NewDesc("rattanchute_body_memory_limit_bytes", "Memory that request bodies may take.", nil, nil)
	heldDesc  = prometheus.NewDesc("rattanchute_body_memory_held_bytes", "Memory that request bodies take.", nil, nil)
	countDesc = prometheus.NewDesc("rattanchute_bodies_receiving", "Request bodies that are not whole yet.", nil, nil)
	// The label says what became of the wish for memory.
	decisionDesc = prometheus.NewDesc("rattanchute_body_decisions_total",
		"Request bodies for which there was no room, and those given up for others.", []string{"decision"}, nil)
)

// Collector returns a collector of the budget's metrics.
func (b *Budget) Collector() prometheus.Collector { return collector{b} }

// Describe implements prometheus.Collector.
func (collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{limitDesc, heldDesc, countDesc, decisionDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	u := c.budget.Usage()
	metrics <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(u.Limit))
	metrics <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(u.Held))
	metrics <- prometheus.MustNewConstMetric(countDesc, prometheus.GaugeValue, float64(u.Receiving))
	metrics <- prometheus.MustNewConstMetric(decisionDesc, prometheus.CounterValue, float64(u.Refused), "refused")
	metrics <- prometheus.MustNewConstMetric(decisionDesc, prometheus.CounterValue, float64(u.Evicted), "evicted")
}
