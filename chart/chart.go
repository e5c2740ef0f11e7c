package chart

import (
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Size of an image.
const (
	width  = 20 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Selection selects the columns of a table that are drawn, by their headings.
type Selection struct {
	Prefix string // prefix of the headings, such as "critical"; empty matches all
	Unit   string // suffix of the headings, such as "/s"
}

func (s Selection) matches(heading string) bool {
	return strings.HasPrefix(heading, s.Prefix) && strings.HasSuffix(heading, s.Unit)
}

// Save draws the selected columns against the first column and writes the image in
// the format given by the file extension of path. It returns an error of kind
// errs.Invalid if no column is selected.
func Save(t *Table, sel Selection, path string) error {
	p := plot.New()
	p.Title.Text = t.Title
	p.X.Label.Text = t.Columns[0]
	p.Y.Label.Text = strings.TrimSpace(sel.Prefix + " " + sel.Unit)
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	lines := 0
	for column := 1; column < len(t.Columns); column++ {
		points := t.points(column)
		if !sel.matches(t.Columns[column]) || len(points) == 0 {
			continue
		}
		if err := addLine(p, lines, strings.TrimSuffix(t.Columns[column], sel.Unit), points); err != nil {
			return err
		}
		lines++
	}
	if lines == 0 {
		return errs.New(errs.Invalid, "give a prefix and a unit that match the heading of a column", "no column of %q has prefix %q, unit %q and numbers to draw", t.Title, sel.Prefix, sel.Unit)
	}
	return p.Save(width, height, path)
}

// points returns the points of a column. Rows without a number are left out.
func (t *Table) points(column int) plotter.XYs {
	var points plotter.XYs
	for row := range t.Rows {
		x, okX := t.numberAt(row, 0)
		y, okY := t.numberAt(row, column)
		if okX && okY {
			points = append(points, plotter.XY{X: x, Y: y})
		}
	}
	return points
}

func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct the numbers in the table", "column %q cannot be drawn", name)
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	markers.Color = plotutil.Color(index)
	markers.Shape = plotutil.Shape(index)
	p.Add(line, markers)
	p.Legend.Add(strings.TrimSpace(name), line, markers)
	return nil
}
