package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Names of the metrics that are summarized by class.
const (
	metricPrefix   = "dogwoodhatch_"
	metricRequests = metricPrefix + "requests"
	metricAnswered = metricPrefix + "request_answered_us"
)

// classTraffic counts the requests of one class to one service by outcome.
type classTraffic struct {
	Service  string  `json:"service"`
	Class    string  `json:"class"`
	Answered float64 `json:"answered"`
	Refused  float64 `json:"refused"`
	Unknown  float64 `json:"unknown"`
	P50MS    float64 `json:"p50_ms"` // latency of answered requests
	P99MS    float64 `json:"p99_ms"`
}

// trafficSummary summarizes the requests that a node has handled since its start.
type trafficSummary struct {
	Classes           []classTraffic     `json:"classes"`
	Refusals          map[string]float64 `json:"refusals"` // refused and unknown requests, by reason
	Node              map[string]float64 `json:"node"`     // all other metrics, by name without the prefix
	byServiceAndClass map[[2]string]*classTraffic
}

type trafficCommand struct {
	env *environment
	jsonOption
}

// Execute reads the metrics of the node and prints a summary.
func (c *trafficCommand) Execute([]string) error {
	resp, err := c.env.call(http.MethodGet, "/metrics", nil, nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return problemError(resp)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(resp.body))
	if err != nil {
		return fmt.Errorf("the node's metrics are malformed: %w; check --node", err)
	}
	s := summarize(families)
	if c.JSON {
		return json.NewEncoder(c.env.out).Encode(s)
	}
	return c.print(s)
}

// summarize groups request metrics by class and reason, and all others by name.
func summarize(families map[string]*dto.MetricFamily) *trafficSummary {
	s := &trafficSummary{Classes: []classTraffic{}, Refusals: map[string]float64{}, Node: map[string]float64{}, byServiceAndClass: map[[2]string]*classTraffic{}}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			s.addMetric(name, m)
		}
	}
	for _, c := range s.byServiceAndClass {
		s.Classes = append(s.Classes, *c)
	}
	slices.SortFunc(s.Classes, func(a, b classTraffic) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return s
}

func (s *trafficSummary) addMetric(name string, m *dto.Metric) {
	labels := map[string]string{}
	for _, l := range m.GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	switch name {
	case metricRequests:
		s.addRequests(labels, metricValue(m))
	case metricAnswered:
		c := s.class(labels)
		for _, q := range m.GetSummary().GetQuantile() {
			ms := q.GetValue() / 1000
			if q.GetQuantile() == 0.5 {
				c.P50MS = ms
			} else {
				c.P99MS = ms
			}
		}
	default:
		s.Node[strings.TrimPrefix(name, metricPrefix)] = metricValue(m)
	}
}

func (s *trafficSummary) addRequests(labels map[string]string, n float64) {
	c := s.class(labels)
	switch labels["outcome"] {
	case "answered":
		c.Answered += n
		return
	case "refused":
		c.Refused += n
	default:
		c.Unknown += n
	}
	s.Refusals[labels["reason"]] += n
}

func (s *trafficSummary) class(labels map[string]string) *classTraffic {
	key := [2]string{labels["service"], labels["class"]}
	if s.byServiceAndClass[key] == nil {
		s.byServiceAndClass[key] = &classTraffic{Service: key[0], Class: key[1]}
	}
	return s.byServiceAndClass[key]
}

// metricValue returns the value of a counter, a gauge or an untyped metric.
func metricValue(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
}

func (c *trafficCommand) print(s *trafficSummary) error {
	w := c.env.table("SERVICE", "CLASS", "ANSWERED", "REFUSED", "UNKNOWN", "P50 MS", "P99 MS")
	for _, t := range s.Classes {
		writeRow(w, t.Service, t.Class, t.Answered, t.Refused, t.Unknown, fmt.Sprintf("%.1f", t.P50MS), fmt.Sprintf("%.1f", t.P99MS))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.out)
	w = c.env.table("REASON", "REQUESTS")
	for _, reason := range sortedNames(s.Refusals) {
		writeRow(w, reason, s.Refusals[reason])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.out)
	w = c.env.table("NODE", "VALUE")
	for _, name := range sortedNames(s.Node) {
		writeRow(w, name, s.Node[name])
	}
	return w.Flush()
}

func sortedNames(m map[string]float64) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
