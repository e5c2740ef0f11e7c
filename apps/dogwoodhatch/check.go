package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

type checkCommand struct {
	env  *environment
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"profiles; the name of a file without .ini is the profile's"`
	} `positional-args:"yes"`
}

// Execute checks every file and prints every fault.
func (c *checkCommand) Execute([]string) error {
	bad := 0
	for _, file := range c.Args.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(file), ".ini")
		if _, err := profile.Parse(name, text); err != nil {
			bad++
			c.print(file, err)
			continue
		}
		fmt.Fprintf(c.env.out, "%s: fine\n", file)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files have faults", bad, len(c.Args.Files))
	}
	return nil
}

func (c *checkCommand) print(file string, err error) {
	for _, fault := range profile.FaultsOf(err) {
		fmt.Fprintf(c.env.out, "%s: %s\n", file, fault)
	}
	if errs.KindOf(err) != errs.Invalid {
		fmt.Fprintf(c.env.out, "%s: %v\n", file, err)
	}
}
