package chart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const report = `# Goodput: bluebonnet

Some text.

| load | naive/s | now/s | note |
| ---: | ---: | ---: | --- |
| 0.5 | 10 | 11 | a |
| 8 | 1.5 | 20 | b |

| other | table |
| --- | --- |
| 1 | 2 |
`

func TestSaveDrawsFirstTable(t *testing.T) {
	table, err := ReadTable(strings.NewReader(report))
	if err != nil {
		t.Fatal(err)
	}
	if table.Title != "Goodput: bluebonnet" || len(table.Rows) != 2 || len(table.points(2)) != 2 {
		t.Fatalf("got %+v", table)
	}
	path := filepath.Join(t.TempDir(), "chart.png")
	if err := Save(table, Selection{Prefix: "n", Unit: "/s"}, path); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		t.Fatalf("no image was written: %v", err)
	}
	if err := Save(table, Selection{Unit: "ms"}, path); errs.KindOf(err) != errs.Invalid {
		t.Fatalf("unit that matches no column: %v", err)
	}
}

func TestReadTableRejectsReportWithoutTable(t *testing.T) {
	if _, err := ReadTable(strings.NewReader("# Title\n\ntext\n")); errs.KindOf(err) != errs.Invalid {
		t.Fatalf("got %v", err)
	}
}
