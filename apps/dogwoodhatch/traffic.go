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

// Names of the metrics that the command reads.
const (
	metricPrefix   = "dogwoodhatch_"
	metricRequests = metricPrefix + "requests"
	metricAnswered = metricPrefix + "request_answered_us"
)

// classTraffic is how the requests of one class to one service ended.
type classTraffic struct {
	Service  string  `json:"service"`
	Class    string  `json:"class"`
	Answered float64 `json:"answered"`
	Refused  float64 `json:"refused"`
	Unknown  float64 `json:"unknown"`
	P50MS    float64 `json:"p50_ms"` // of the answers
	P99MS    float64 `json:"p99_ms"`
}

// trafficSummary is what a node has carried since its start.
type trafficSummary struct {
	Classes   []classTraffic     `json:"classes"`
	Refusals  map[string]float64 `json:"refusals"` // and unknown outcomes, by reason
	Node      map[string]float64 `json:"node"`     // single figures, without the prefix
	byService map[[2]string]*classTraffic
}

type trafficCommand struct {
	env *environment
	jsonOption
}

// Execute prints a summary of the metrics of the node.
func (c *trafficCommand) Execute([]string) error {
	a, err := c.env.call(http.MethodGet, "/metrics", nil, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return problemError(a)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(a.body))
	if err != nil {
		return fmt.Errorf("the node's metrics are malformed: %w; check --node", err)
	}
	s := summarize(families)
	if c.JSON {
		return json.NewEncoder(c.env.out).Encode(s)
	}
	return c.print(s)
}

// summarize groups the metrics by class, by reason and by name.
func summarize(families map[string]*dto.MetricFamily) *trafficSummary {
	s := &trafficSummary{Classes: []classTraffic{}, Refusals: map[string]float64{}, Node: map[string]float64{}, byService: map[[2]string]*classTraffic{}}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			s.add(name, m)
		}
	}
	for _, c := range s.byService {
		s.Classes = append(s.Classes, *c)
	}
	slices.SortFunc(s.Classes, func(a, b classTraffic) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return s
}

func (s *trafficSummary) add(name string, m *dto.Metric) {
	labels := map[string]string{}
	for _, l := range m.GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	switch name {
	case metricRequests:
		s.addEnding(labels, value(m))
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
		s.Node[strings.TrimPrefix(name, metricPrefix)] = value(m)
	}
}

func (s *trafficSummary) addEnding(labels map[string]string, n float64) {
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
	if s.byService[key] == nil {
		s.byService[key] = &classTraffic{Service: key[0], Class: key[1]}
	}
	return s.byService[key]
}

// value returns the figure of a metric of any single-valued type.
func value(m *dto.Metric) float64 {
	return m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
}

func (c *trafficCommand) print(s *trafficSummary) error {
	w := c.env.table("SERVICE", "CLASS", "ANSWERED", "REFUSED", "UNKNOWN", "P50 MS", "P99 MS")
	for _, t := range s.Classes {
		row(w, t.Service, t.Class, t.Answered, t.Refused, t.Unknown, fmt.Sprintf("%.1f", t.P50MS), fmt.Sprintf("%.1f", t.P99MS))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.out)
	w = c.env.table("REASON", "REQUESTS")
	for _, reason := range sortedNames(s.Refusals) {
		row(w, reason, s.Refusals[reason])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(c.env.out)
	w = c.env.table("NODE", "VALUE")
	for _, name := range sortedNames(s.Node) {
		row(w, name, s.Node[name])
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
