package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// revisionLine begins the first line that "profile get" prints, so that
// "profile put" knows which revision the operator has edited.
const revisionLine = "# at revision "

func profilePath(name string) string { return "/v1/profiles/" + url.PathEscape(name) }

// nameArg is the argument of most commands.
type nameArg struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// jsonOption prints the answer of the node as it is.
type jsonOption struct {
	JSON bool `long:"json" description:"print the node's answer as JSON"`
}

type listCommand struct {
	env *environment
	jsonOption
}

// Execute lists the profiles.
func (c *listCommand) Execute([]string) error {
	var list []publish.Versioned
	if ok, err := c.env.read(http.MethodGet, "/v1/profiles", c.JSON, &list); !ok {
		return err
	}
	w := c.env.table("NAME", "REVISION", "AUTHOR", "TIME", "OWNERS")
	for _, v := range list {
		row(w, v.Record.Name, v.Revision, v.Record.Change.Author, v.Record.Change.Time.Format(time.RFC3339), strings.Join(v.Record.Owners, ","))
	}
	return w.Flush()
}

// table returns a writer of aligned columns.
func (env *environment) table(heads ...any) *tabwriter.Writer {
	w := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	row(w, heads...)
	return w
}

func row(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		if cell == "" {
			cell = "-"
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

type getCommand struct {
	env *environment
	jsonOption
	Args nameArg `positional-args:"yes"`
}

// Execute prints a profile so that it can be edited and put.
func (c *getCommand) Execute([]string) error {
	var v publish.Versioned
	if ok, err := c.env.read(http.MethodGet, profilePath(c.Args.Name), c.JSON, &v); !ok {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%s%d\n%s", revisionLine, v.Revision, v.Record.Body)
	return err
}

type putCommand struct {
	env    *environment
	Base   uint64 `long:"base" value-name:"REVISION" description:"revision that you have edited; the file's first line tells it after profile get"`
	Create bool   `long:"create" description:"the profile does not exist yet"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute publishes a file.
func (c *putCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	told, text, err := cutRevision(text)
	if err != nil {
		return err
	}
	if c.Base == 0 {
		c.Base = told
	}
	if (c.Base == 0) == !c.Create {
		return usageError("say which revision you have edited with --base, or give --create for a new profile")
	}
	if _, err := profile.Parse(c.Args.Name, text); err != nil {
		return faultsError(err)
	}
	if c.Create {
		if c.Base, err = c.env.deletedRevision(profilePath(c.Args.Name)); err != nil {
			return err
		}
	}
	return c.env.change(http.MethodPut, profilePath(c.Args.Name), profile.KindProfile.Key(c.Args.Name), c.Base, text)
}

func faultsError(err error) error { return &exitError{exitFault, profile.FaultsOf(err).Error()} }

// cutRevision removes the line that "profile get" adds.
func cutRevision(text []byte) (uint64, []byte, error) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	number, ok := strings.CutPrefix(string(line), revisionLine)
	if !ok {
		return 0, text, nil
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, nil, usageError("the line %q names no revision; remove it and give --base", line)
	}
	return revision, rest, nil
}

// deletedRevision returns the revision of a deleted record, which a new one
// replaces, and 0 if there is none.
func (env *environment) deletedRevision(path string) (uint64, error) {
	a, err := env.call(http.MethodGet, path, nil, nil)
	if err != nil || a.status != http.StatusNotFound || a.tag == "" {
		return 0, err
	}
	return strconv.ParseUint(strings.Trim(a.tag, `"`), 10, 64)
}

// baseOption is the revision that a change replaces.
type baseOption struct {
	Base uint64 `long:"base" value-name:"REVISION" required:"yes" description:"revision that you have seen"`
}

type deleteCommand struct {
	env *environment
	baseOption
	Args nameArg `positional-args:"yes"`
}

// Execute deletes a profile.
func (c *deleteCommand) Execute([]string) error {
	return c.env.change(http.MethodDelete, profilePath(c.Args.Name), profile.KindProfile.Key(c.Args.Name), c.Base, nil)
}

type undoCommand struct {
	env *environment
	baseOption
	Args nameArg `positional-args:"yes"`
}

// Execute publishes the text that the change at the base replaced.
func (c *undoCommand) Execute([]string) error {
	return c.env.change(http.MethodPost, profilePath(c.Args.Name)+"/undo", profile.KindProfile.Key(c.Args.Name), c.Base, nil)
}

type historyCommand struct {
	env *environment
	jsonOption
	Args nameArg `positional-args:"yes"`
}

// Execute lists the latest changes of a profile, also of a deleted one.
func (c *historyCommand) Execute([]string) error {
	var v publish.Versioned
	path := profilePath(c.Args.Name) + "?" + adminapi.QueryDeleted + "=true"
	if ok, err := c.env.read(http.MethodGet, path, c.JSON, &v); !ok {
		return err
	}
	w := c.env.table("REVISION", "AUTHOR", "TIME", "CHANGE")
	for i, change := range v.Record.History {
		row(w, v.RevisionAt(i), change.Author, change.Time.Format(time.RFC3339), change.ID)
	}
	return w.Flush()
}
