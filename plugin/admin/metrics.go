package admin

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rcrowley/go-metrics"
)

const metricPrefix = "dogwoodhatch_"

// quantiles of histograms and timers that are told to collectors.
var quantiles = []float64{0.5, 0.99}

// collector tells the metrics of a node in the Prometheus exposition format.
// Names may carry labels behind a question mark: "name?key=value&key=value".
type collector struct{ reg metrics.Registry }

// Describe implements prometheus.Collector. Sending nothing makes the collector
// unchecked, since metrics appear as classes and services do.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	c.reg.Each(func(name string, m any) {
		desc, values := describe(name)
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
			ch <- prometheus.MustNewConstSummary(desc, uint64(s.Count()), float64(s.Sum()), quantilesOf(s), values...)
		}
	})
}

func quantilesOf(h metrics.Histogram) map[float64]float64 {
	out := map[float64]float64{}
	for i, v := range h.Percentiles(quantiles) {
		out[quantiles[i]] = v
	}
	return out
}

// describe splits the labels off a name.
func describe(name string) (*prometheus.Desc, []string) {
	base, query, _ := strings.Cut(name, "?")
	var keys, values []string
	for pair := range strings.SplitSeq(query, "&") {
		if key, value, ok := strings.Cut(pair, "="); ok {
			keys = append(keys, key)
			values = append(values, value)
		}
	}
	base = metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(base)
	return prometheus.NewDesc(base, base, keys, nil), values
}
