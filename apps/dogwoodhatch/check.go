package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

type checkCommand struct {
	env  *environment
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"profiles, each in a file with its name and the extension .ini, or settings of a node, which have a [node] section"`
	} `positional-args:"yes"`
}

// Execute checks the files and prints all their faults.
func (c *checkCommand) Execute([]string) error {
	faultyFiles := 0
	for _, file := range c.Args.Files {
		kind, err := checkFile(file)
		if err != nil {
			faultyFiles++
			c.printFaults(file, err)
			continue
		}
		fmt.Fprintf(c.env.out, "%s: %s is fine\n", file, kind)
	}
	if faultyFiles > 0 {
		return fmt.Errorf("%d of %d files have faults", faultyFiles, len(c.Args.Files))
	}
	return nil
}

// nodeSection matches the head of a section that only the settings of a node have.
var nodeSection = regexp.MustCompile(`(?m)^\s*\[node\]`)

// checkFile returns the kind of a file, "settings" or "profile", and its faults as
// an error.
func checkFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if nodeSection.Match(text) {
		_, err := settings.Load(file)
		return "settings", err
	}
	name := strings.TrimSuffix(filepath.Base(file), ".ini")
	_, err = profile.Parse(name, text)
	return "profile", err
}

// printFaults prints the faults that an error lists, or the error itself if it lists
// none.
func (c *checkCommand) printFaults(file string, err error) {
	faults := profile.FaultsOf(err)
	for _, fault := range faults {
		fmt.Fprintf(c.env.out, "%s: %s\n", file, fault)
	}
	if len(faults) == 0 {
		fmt.Fprintf(c.env.out, "%s: %v\n", file, err)
	}
}
