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

// revisionPrefix is the start of the first line that "profile get" prints. From this
// line, "profile put" reads the revision that the operator has edited.
const revisionPrefix = "# at revision "

func profilePath(name string) string { return "/v1/profiles/" + url.PathEscape(name) }

// nameArg is the positional argument of commands that act on one profile.
type nameArg struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// jsonOption is the option to print the response of the node as it is.
type jsonOption struct {
	JSON bool `long:"json" description:"print the node's response as JSON"`
}

type listCommand struct {
	env *environment
	jsonOption
}

// Execute lists the profiles.
func (c *listCommand) Execute([]string) error {
	var list []publish.Versioned
	if ok, err := c.env.fetch(http.MethodGet, "/v1/profiles", c.JSON, &list); !ok {
		return err
	}
	w := c.env.table("NAME", "REVISION", "AUTHOR", "TIME", "OWNERS")
	for _, v := range list {
		writeRow(w, v.Record.Name, v.Revision, v.Record.Change.Author, v.Record.Change.Time.Format(time.RFC3339), strings.Join(v.Record.Owners, ","))
	}
	return w.Flush()
}

// table returns a writer that aligns columns, with the headings written.
func (env *environment) table(headings ...any) *tabwriter.Writer {
	w := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	writeRow(w, headings...)
	return w
}

// writeRow writes one row of a table, with "-" for empty cells.
func writeRow(w *tabwriter.Writer, cells ...any) {
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

// Execute prints a profile with its revision in the first line, so that the output
// can be edited and passed to "profile put".
func (c *getCommand) Execute([]string) error {
	var v publish.Versioned
	if ok, err := c.env.fetch(http.MethodGet, profilePath(c.Args.Name), c.JSON, &v); !ok {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%s%d\n%s", revisionPrefix, v.Revision, v.Record.Body)
	return err
}

type putCommand struct {
	env    *environment
	Base   uint64 `long:"base" value-name:"REVISION" description:"revision that you have edited; not needed after profile get if the file still has its first line"`
	Create bool   `long:"create" description:"the profile does not exist yet"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute publishes a file as a profile.
func (c *putCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	fileRevision, text, err := cutRevision(text)
	if err != nil {
		return err
	}
	if c.Base == 0 {
		c.Base = fileRevision
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

func faultsError(err error) error { return &exitError{exitFailure, profile.FaultsOf(err).Error()} }

// cutRevision removes the line that "profile get" adds and returns the revision in
// it, or 0 if the text has no such line.
func cutRevision(text []byte) (uint64, []byte, error) {
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	number, ok := strings.CutPrefix(string(line), revisionPrefix)
	if !ok {
		return 0, text, nil
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, nil, usageError("the line %q contains no revision; remove it and give --base", line)
	}
	return revision, rest, nil
}

// deletedRevision returns the revision of a deleted record, which a new record must
// replace. It returns 0 if there is no deleted record.
func (env *environment) deletedRevision(path string) (uint64, error) {
	resp, err := env.call(http.MethodGet, path, nil, nil)
	if err != nil || resp.status != http.StatusNotFound || resp.tag == "" {
		return 0, err
	}
	return strconv.ParseUint(strings.Trim(resp.tag, `"`), 10, 64)
}

// baseOption is the option with the revision that a change replaces.
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

// Execute restores the text that the change at the base revision replaced.
func (c *undoCommand) Execute([]string) error {
	return c.env.change(http.MethodPost, profilePath(c.Args.Name)+"/undo", profile.KindProfile.Key(c.Args.Name), c.Base, nil)
}

type historyCommand struct {
	env *environment
	jsonOption
	Args nameArg `positional-args:"yes"`
}

// Execute lists the latest changes of a profile, even if it is deleted.
func (c *historyCommand) Execute([]string) error {
	var v publish.Versioned
	path := profilePath(c.Args.Name) + "?" + adminapi.QueryDeleted + "=true"
	if ok, err := c.env.fetch(http.MethodGet, path, c.JSON, &v); !ok {
		return err
	}
	w := c.env.table("REVISION", "AUTHOR", "TIME", "CHANGE")
	for i, change := range v.Record.History {
		writeRow(w, v.RevisionAt(i), change.Author, change.Time.Format(time.RFC3339), change.ID)
	}
	return w.Flush()
}
