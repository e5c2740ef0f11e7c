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
	maxLatency        = 2 * time.Minute
	significantDigits = 3
	allClasses        = "all"
)

// ClassReport sums up the submissions of one class.
type ClassReport struct {
	Name     string
	Offered  int // submissions
	Attempts int
	Cut      int // attempts that lost their connection
	Verdicts [numVerdicts]int
	// Latency of whole answers in microseconds, from the arrival of the
	// submission, so that earlier attempts count.
	Latency *hdrhistogram.Histogram
	// Endings counts attempts by what a node told of them, as
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
	verdict := s.final()
	c.Verdicts[verdict]++
	c.series.add(s.arrival, verdict == Whole)
	if verdict == Whole {
		c.Latency.RecordValue(min(s.latency, maxLatency).Microseconds())
	}
}

// quantile returns the latency in milliseconds below which q percent of the
// whole answers came.
func (c *ClassReport) quantile(q float64) float64 {
	return float64(c.Latency.ValueAtQuantile(q)) / 1000
}

// Report is the result of a run.
type Report struct {
	Length  time.Duration // how long requests arrived
	All     *ClassReport
	Classes []*ClassReport
	Audited bool // whether the backend servers were asked
	Audit   Audit

	causeFrom, causeTo time.Duration
}

func newReport(length time.Duration, mix *Mix, submissions []*submission) *Report {
	r := &Report{Length: length, All: newClassReport(allClasses)}
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

// Sound reports whether every check passed: no wrong answer, no submission run
// twice, none falsely refused.
func (r *Report) Sound() bool {
	return r.All.Verdicts[Wrong] == 0 && r.Audit.Twice == 0 &&
		r.Audit.FalseRefused == 0 && r.Audit.ForeignCalls == 0
}

func (r *Report) goodput(c *ClassReport) float64 {
	return float64(c.Verdicts[Whole]) / r.Length.Seconds()
}

// Line returns the result as one line of key=value pairs. Figures of the audit
// read "unread" if no backend server was asked.
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
	line += fmt.Sprintf(" goodput_per_s=%.1f p50_ms=%.2f p99_ms=%.2f", r.goodput(a), a.quantile(50), a.quantile(99))
	if r.causeTo > 0 {
		line += fmt.Sprintf(" recovery_s=%s", r.recoveryText(a))
	}
	if len(a.Endings) > 0 {
		line += " endings=" + a.endingsText()
	}
	return line
}

// endingsText lists the endings by name, as "refused/deadline:3,unknown/key_held:1".
func (c *ClassReport) endingsText() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c.Endings)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, c.Endings[name]))
	}
	return strings.Join(parts, ",")
}

// recoveryText returns the recovery time in seconds, or "none" for a run that
// ended before it recovered.
func (r *Report) recoveryText(c *ClassReport) string {
	d := c.series.recovery(r.causeFrom, r.causeTo)
	if d == notRecovered {
		return "none"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}

// Table returns the result by class in Markdown.
func (r *Report) Table() string {
	var b strings.Builder
	header := []string{"class", "offered", "whole", "goodput/s", "refused", "unknown", "failed", "late", "wrong", "p50 ms", "p99 ms"}
	if r.causeTo > 0 {
		header = append(header, "recovery s")
	}
	writeRow(&b, header)
	writeRow(&b, rule(len(header)))
	for _, c := range append(r.Classes, r.All) {
		writeRow(&b, r.row(c))
	}
	return b.String()
}

func (r *Report) row(c *ClassReport) []string {
	v := c.Verdicts
	row := []string{c.Name, fmt.Sprint(c.Offered), fmt.Sprint(v[Whole]), fmt.Sprintf("%.1f", r.goodput(c))}
	for _, verdict := range []Verdict{Refused, Unknown, Failed, Late, Wrong} {
		row = append(row, fmt.Sprint(v[verdict]))
	}
	row = append(row, fmt.Sprintf("%.2f", c.quantile(50)), fmt.Sprintf("%.2f", c.quantile(99)))
	if r.causeTo > 0 {
		row = append(row, r.recoveryText(c))
	}
	return row
}

func writeRow(b *strings.Builder, cells []string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// rule returns the line under a header whose first column is text.
func rule(columns int) []string {
	cells := make([]string, columns)
	for i := range cells {
		cells[i] = "---:"
	}
	cells[0] = "---"
	return cells
}
