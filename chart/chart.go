package chart

import (
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Size of a picture.
const (
	width  = 20 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Save draws the columns whose heading ends with unit against the first column
// and writes the picture in the format that the ending of path names. It
// returns an error of kind errs.Invalid if no column fits.
func Save(t *Table, unit, path string) error {
	p := plot.New()
	p.Title.Text = t.Title
	p.X.Label.Text = t.Columns[0]
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	lines := 0
	for column := 1; column < len(t.Columns); column++ {
		points := t.points(column)
		if !strings.HasSuffix(t.Columns[column], unit) || len(points) == 0 {
			continue
		}
		if err := addLine(p, lines, strings.TrimSuffix(t.Columns[column], unit), points); err != nil {
			return err
		}
		lines++
	}
	if lines == 0 {
		return errs.New(errs.Invalid, "give a unit that ends the heading of a column", "no column of %q ends with %q", t.Title, unit)
	}
	return p.Save(width, height, path)
}

func (t *Table) points(column int) plotter.XYs {
	var points plotter.XYs
	for row := range t.Rows {
		x, okX := t.number(row, 0)
		y, okY := t.number(row, column)
		if okX && okY {
			points = append(points, plotter.XY{X: x, Y: y})
		}
	}
	return points
}

func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct the figures of the table", "column %q cannot be drawn", name)
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	marks.Color = plotutil.Color(index)
	marks.Shape = plotutil.Shape(index)
	p.Add(line, marks)
	p.Legend.Add(strings.TrimSpace(name), line, marks)
	return nil
}
