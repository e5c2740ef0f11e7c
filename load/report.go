package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = 2 * time.Minute // longer latencies are recorded as this
	significantDigits = 3               // of the latency histograms
	allClassesName    = "all"
)

// ClassReport summarizes the submissions of one class, or of all classes.
type ClassReport struct {
	Name     string
	Offered  int // submissions
	Attempts int
	Cut      int // attempts whose connection was lost
	Verdicts [numVerdicts]int
	// Latency of whole answers in microseconds. It is measured from the
	// arrival of the submission, so it includes earlier attempts.
	Latency *hdrhistogram.Histogram
	// Endings counts attempts by the outcome and reason set by a node, such as
	// "refused/queue_full".
	Endings map[string]int
	series  series
}

func newClassReport(name string) *ClassReport {
	return &ClassReport{
		Name:    name,
		Latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		Endings: make(map[string]int),
	}
}

func (c *ClassReport) add(s *submission) {
	c.Offered++
	c.Attempts += len(s.attempts)
	for _, a := range s.attempts {
		if a.cut {
			c.Cut++
		}
		if a.ending != "" {
			c.Endings[a.ending]++
		}
	}
	verdict := s.finalVerdict()
	c.Verdicts[verdict]++
	c.series.add(s.arrival, verdict == Whole)
	if verdict == Whole {
		c.Latency.RecordValue(min(s.latency, maxLatency).Microseconds())
	}
}

// latencyPercentileMs returns a percentile, from 0 to 100, of the latency of
// whole answers in milliseconds.
func (c *ClassReport) latencyPercentileMs(percentile float64) float64 {
	return float64(c.Latency.ValueAtQuantile(percentile)) / 1000
}

// Report is the result of a run.
type Report struct {
	Duration time.Duration // how long new requests arrived
	All      *ClassReport
	Classes  []*ClassReport
	Audited  bool // whether Audit was filled from the backend servers
	Audit    Audit

	causeFrom, causeTo time.Duration
}

func newReport(duration time.Duration, mix *Mix, submissions []*submission) *Report {
	r := &Report{Duration: duration, All: newClassReport(allClassesName)}
	byClass := make(map[*Class]*ClassReport)
	for _, class := range mix.Classes {
		byClass[class] = newClassReport(class.Name)
		r.Classes = append(r.Classes, byClass[class])
	}
	for _, s := range submissions {
		r.All.add(s)
		byClass[s.class].add(s)
	}
	return r
}

// Sound reports whether every check passed: no answer was wrong, no submission
// ran twice or was falsely refused, and no call between services got a corrupt or
// foreign answer.
func (r *Report) Sound() bool {
	return r.All.Verdicts[Wrong] == 0 && r.Audit.Twice == 0 &&
		r.Audit.FalseRefused == 0 && r.Audit.ForeignCalls == 0
}

func (r *Report) goodput(c *ClassReport) float64 {
	return float64(c.Verdicts[Whole]) / r.Duration.Seconds()
}

// Line returns the result as one line of key=value pairs. The figures of the
// audit are "unread" if the executions were not read.
func (r *Report) Line() string {
	a, v := r.All, r.All.Verdicts
	line := fmt.Sprintf("requests=%d attempts=%d whole=%d refused=%d unknown=%d failed=%d late=%d cut=%d wrong=%d",
		a.Offered, a.Attempts, v[Whole], v[Refused], v[Unknown], v[Failed], v[Late], a.Cut, v[Wrong])
	if r.Audited {
		line += fmt.Sprintf(" twice=%d false_refused=%d foreign_calls=%d executions=%d unfinished=%d",
			r.Audit.Twice, r.Audit.FalseRefused, r.Audit.ForeignCalls, r.Audit.Executions, r.Audit.Unfinished)
	} else {
		line += " twice=unread false_refused=unread foreign_calls=unread"
	}
	line += fmt.Sprintf(" goodput_per_s=%.1f p50_ms=%.2f p99_ms=%.2f", r.goodput(a), a.latencyPercentileMs(50), a.latencyPercentileMs(99))
	if r.causeTo > 0 {
		line += fmt.Sprintf(" recovery_s=%s", r.formatRecovery(a))
	}
	if len(a.Endings) > 0 {
		line += " endings=" + a.formatEndings()
	}
	return line
}

// formatEndings returns the sorted endings with their counts, such as
// "refused/deadline:3,unknown/key_held:1".
func (c *ClassReport) formatEndings() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.Endings)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, c.Endings[name]))
	}
	return strings.Join(parts, ",")
}

// formatRecovery returns the recovery time in seconds, or "none" if the run ended
// before goodput recovered.
func (r *Report) formatRecovery(c *ClassReport) string {
	d := c.series.recovery(r.causeFrom, r.causeTo)
	if d == notRecovered {
		return "none"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}

// Table returns a Markdown table of the results by class.
func (r *Report) Table() string {
	var b strings.Builder
	header := []string{"class", "offered", "whole", "goodput/s", "refused", "unknown", "failed", "late", "wrong", "p50 ms", "p99 ms"}
	if r.causeTo > 0 {
		header = append(header, "recovery s")
	}
	writeRow(&b, header)
	writeRow(&b, separatorRow(len(header)))
	for _, c := range append(r.Classes, r.All) {
		writeRow(&b, r.classRow(c))
	}
	return b.String()
}

func (r *Report) classRow(c *ClassReport) []string {
	v := c.Verdicts
	row := []string{c.Name, fmt.Sprint(c.Offered), fmt.Sprint(v[Whole]), fmt.Sprintf("%.1f", r.goodput(c))}
	for _, verdict := range []Verdict{Refused, Unknown, Failed, Late, Wrong} {
		row = append(row, fmt.Sprint(v[verdict]))
	}
	row = append(row, fmt.Sprintf("%.2f", c.latencyPercentileMs(50)), fmt.Sprintf("%.2f", c.latencyPercentileMs(99)))
	if r.causeTo > 0 {
		row = append(row, r.formatRecovery(c))
	}
	return row
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// separatorRow returns the cells under a Markdown table header: the first column
// is left-aligned text, the others are right-aligned numbers.
func separatorRow(columns int) []string {
	cells := make([]string, columns)
	for i := range cells {
		cells[i] = "---:"
	}
	cells[0] = "---"
	return cells
}
