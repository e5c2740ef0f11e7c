// Package chart draws the tables of benchmark reports as line charts.
package chart

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Table is the first table of a Markdown report.
type Table struct {
	Title   string   // title of the report
	Columns []string // headings
	Rows    [][]string
}

// ReadTable reads the first table of a report. The error is of kind errs.Invalid if
// there is no table or the report cannot be read.
func ReadTable(r io.Reader) (*Table, error) {
	t := &Table{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		title, isTitle := strings.CutPrefix(line, "# ")
		switch {
		case isTitle && t.Title == "":
			t.Title = title
		case strings.HasPrefix(line, "|") && t.Columns == nil:
			t.Columns = cells(line)
		case strings.HasPrefix(line, "|"):
			t.addRow(cells(line))
		case t.Columns != nil:
			return t.validated()
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "generate the report again", "report cannot be read")
	}
	return t.validated()
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "| "), "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// addRow appends a row, unless it is the delimiter row below the headings.
func (t *Table) addRow(row []string) {
	if strings.Trim(strings.Join(row, ""), "-:") != "" {
		t.Rows = append(t.Rows, row)
	}
}

func (t *Table) validated() (*Table, error) {
	if len(t.Columns) < 2 || len(t.Rows) == 0 {
		return nil, errs.New(errs.Invalid, "give a report with a table of at least two columns", "report %q has no table", t.Title)
	}
	return t, nil
}

// numberAt returns the number in a cell, and false if the cell has none.
func (t *Table) numberAt(row, column int) (float64, bool) {
	if column >= len(t.Rows[row]) {
		return 0, false
	}
	v, err := strconv.ParseFloat(t.Rows[row][column], 64)
	return v, err == nil
}
