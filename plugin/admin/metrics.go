package admin

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "dogwoodhatch_"

// exportedQuantiles are the quantiles exported for each histogram.
var exportedQuantiles = []float64{0.5, 0.99}

// collector exports the metrics of a node to Prometheus. A metric name may be followed
// by a question mark and labels: "name?key=value&key=value".
type collector struct{ reg metrics.Registry }

// Describe implements prometheus.Collector. It sends no descriptors, which makes the
// collector unchecked, because metrics are added as classes and services appear.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	c.reg.Each(func(name string, m any) {
		desc, values := newDesc(name)
		switch m := m.(type) {
		case metrics.Counter:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()), values...)
		case metrics.Meter:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()), values...)
		case metrics.Gauge:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()), values...)
		case metrics.GaugeFloat64:
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, m.Value(), values...)
		case metrics.Histogram:
			s := m.Snapshot()
			ch <- prometheus.MustNewConstSummary(desc, uint64(s.Count()), float64(s.Sum()), quantileValues(s), values...)
		}
	})
}

// quantileValues returns the values of exportedQuantiles by quantile.
func quantileValues(h metrics.Histogram) map[float64]float64 {
	out := map[float64]float64{}
	for i, v := range h.Percentiles(exportedQuantiles) {
		out[exportedQuantiles[i]] = v
	}
	return out
}

// newDesc returns the descriptor of a metric and its label values, both parsed from
// the metric name.
func newDesc(name string) (*prometheus.Desc, []string) {
	base, labels, _ := strings.Cut(name, "?")
	var keys, values []string
	for pair := range strings.SplitSeq(labels, "&") {
		if key, value, ok := strings.Cut(pair, "="); ok {
			keys = append(keys, key)
			values = append(values, value)
		}
	}
	base = metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(base)
	return prometheus.NewDesc(base, base, keys, nil), values
}
