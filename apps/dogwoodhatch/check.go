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
		Files []string `positional-arg-name:"FILE" required:"1" description:"profiles, whose name is that of the file without .ini, or settings of a node, which have a [node] section"`
	} `positional-args:"yes"`
}

// Execute checks every file and prints every fault.
func (c *checkCommand) Execute([]string) error {
	bad := 0
	for _, file := range c.Args.Files {
		kind, err := checkFile(file)
		if err != nil {
			bad++
			c.print(file, err)
			continue
		}
		fmt.Fprintf(c.env.out, "%s: %s is fine\n", file, kind)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files have faults", bad, len(c.Args.Files))
	}
	return nil
}

// settingsSection matches a section that only the settings of a node have.
var settingsSection = regexp.MustCompile(`(?m)^\s*\[node\]`)

// checkFile says what a file holds, and returns its faults.
func checkFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if settingsSection.Match(text) {
		_, err := settings.Load(file)
		return "settings", err
	}
	name := strings.TrimSuffix(filepath.Base(file), ".ini")
	_, err = profile.Parse(name, text)
	return "profile", err
}

func (c *checkCommand) print(file string, err error) {
	faults := profile.FaultsOf(err)
	for _, fault := range faults {
		fmt.Fprintf(c.env.out, "%s: %s\n", file, fault)
	}
	if len(faults) == 0 {
		fmt.Fprintf(c.env.out, "%s: %v\n", file, err)
	}
}
