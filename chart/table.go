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
	Title   string // of the report
	Columns []string
	Rows    [][]string
}

// ReadTable returns the first table of a report, or an error of kind
// errs.Invalid if there is none.
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
			return t.checked()
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "write the report again", "report cannot be read")
	}
	return t.checked()
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "| "), "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// addRow leaves out the line that only says how columns are aligned.
func (t *Table) addRow(row []string) {
	if strings.Trim(strings.Join(row, ""), "-:") != "" {
		t.Rows = append(t.Rows, row)
	}
}

func (t *Table) checked() (*Table, error) {
	if len(t.Columns) < 2 || len(t.Rows) == 0 {
		return nil, errs.New(errs.Invalid, "give a report with a table of at least two columns", "report %q has no table", t.Title)
	}
	return t, nil
}

// number returns the figure in a cell.
func (t *Table) number(row, column int) (float64, bool) {
	if column >= len(t.Rows[row]) {
		return 0, false
	}
	v, err := strconv.ParseFloat(t.Rows[row][column], 64)
	return v, err == nil
}
