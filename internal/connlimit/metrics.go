package connlimit

import "github.com/prometheus/client_golang/prometheus"

var (
	openDesc = prometheus.NewDesc("rattanchute_connections_open", "Open connections, by listener and what they wait for.",
		[]string{"listener", "state"}, nil)
	shedDesc = prometheus.NewDesc("rattanchute_connections_shed_total",
		"Connections that were closed for others, and those that were not taken, by listener.", []string{"listener", "decision"}, nil)
)

// collector exports the state of the tables of a process, by listener.
type collector map[string]*Table

// Collector returns a collector of the metrics of tables, by the names of their listeners.
func Collector(tables map[string]*Table) prometheus.Collector { return collector(tables) }

// Describe implements prometheus.Collector.
func (collector) Describe(descs chan<- *prometheus.Desc) {
	descs <- openDesc
	descs <- shedDesc
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	for name, table := range c {
		u := table.Usage()
		gauge := func(n int, state string) {
			metrics <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(n), name, state)
		}
		count := func(n uint64, decision string) {
			metrics <- prometheus.MustNewConstMetric(shedDesc, prometheus.CounterValue, float64(n), name, decision)
		}
		gauge(u.Silent, "silent")
		gauge(u.Idle, "idle")
		gauge(u.Open-u.Silent-u.Idle, "request")
		count(u.Closed, "closed")
		count(u.Refused, "refused")
	}
}
