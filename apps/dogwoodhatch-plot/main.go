// Command dogwoodhatch-plot draws the first table of a benchmark report as a
// line chart.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/dogwoodhatch/dogwoodhatch/chart"
)

type options struct {
	Prefix string `long:"prefix" description:"prefix of the headings whose columns are drawn; empty matches all"`
	Unit   string `long:"unit" default:"/s" description:"suffix of the headings whose columns are drawn"`
	Args   struct {
		Reports []string `positional-arg-name:"REPORT" required:"1" description:"Markdown file; the image is written next to it, with the extension .png"`
	} `positional-args:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	for _, path := range opts.Args.Reports {
		if err := draw(path, chart.Selection{Prefix: opts.Prefix, Unit: opts.Unit}); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			os.Exit(1)
		}
	}
}

func draw(path string, sel chart.Selection) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	table, err := chart.ReadTable(f)
	if err != nil {
		return err
	}
	return chart.Save(table, sel, strings.TrimSuffix(path, ".md")+".png")
}
