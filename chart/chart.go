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

// Selection says which columns of a table are drawn.
type Selection struct {
	Prefix string // beginning of the headings, such as "critical"; empty fits all
	Unit   string // ending of the headings, such as "/s"
}

func (s Selection) fits(heading string) bool {
	return strings.HasPrefix(heading, s.Prefix) && strings.HasSuffix(heading, s.Unit)
}

// Save draws the selected columns against the first column and writes the
// picture in the format that the ending of path names. It returns an error of
// kind errs.Invalid if no column fits.
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
		if !sel.fits(t.Columns[column]) || len(points) == 0 {
			continue
		}
		if err := addLine(p, lines, strings.TrimSuffix(t.Columns[column], sel.Unit), points); err != nil {
			return err
		}
		lines++
	}
	if lines == 0 {
		return errs.New(errs.Invalid, "give a prefix and a unit that fit the heading of a column", "no column of %q fits %q and %q", t.Title, sel.Prefix, sel.Unit)
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
