package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// teamsPath is the path of the record with all teams.
const teamsPath = "/v1/teams"

var teamsKey = profile.KindTeams.Key(profile.TeamsName)

type getTeamsCommand struct {
	env *environment
	jsonOption
}

// Execute prints the teams with their revision in the first line, so that the output can
// be edited and passed to "team put".
func (c *getTeamsCommand) Execute([]string) error {
	var v publish.Versioned
	if ok, err := c.env.fetch(http.MethodGet, teamsPath, c.JSON, &v); !ok {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%s%d\n%s", revisionPrefix, v.Revision, v.Record.Body)
	return err
}

type putTeamsCommand struct {
	env    *environment
	Base   uint64 `long:"base" value-name:"REVISION" description:"revision that you have edited; not needed after team get if the file still has its first line"`
	Create bool   `long:"create" description:"there are no teams yet"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute publishes a file with all teams. Keys in it are replaced by their digests before
// anything is sent.
func (c *putTeamsCommand) Execute([]string) error {
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
		return usageError("say which revision you have edited with --base, or give --create for the first teams")
	}
	if _, err := team.ParseRegistry(text, team.FromOperator); err != nil {
		return &exitError{exitFailure, err.Error()}
	}
	defs, err := team.Parse(text, team.FromOperator)
	if err != nil {
		return err
	}
	if c.Create {
		if c.Base, err = c.env.deletedRevision(teamsPath); err != nil {
			return err
		}
	}
	return c.env.change(http.MethodPut, teamsPath, teamsKey, c.Base, team.Format(defs))
}

type deleteTeamsCommand struct {
	env *environment
	baseOption
}

// Execute deletes all teams. Callers outside then need no key.
func (c *deleteTeamsCommand) Execute([]string) error {
	return c.env.change(http.MethodDelete, teamsPath, teamsKey, c.Base, nil)
}

type teamHistoryCommand struct {
	env *environment
	jsonOption
}

// Execute lists the latest changes of the teams, even if they are deleted.
func (c *teamHistoryCommand) Execute([]string) error {
	var v publish.Versioned
	if ok, err := c.env.fetch(http.MethodGet, teamsPath+"?"+adminapi.QueryDeleted+"=true", c.JSON, &v); !ok {
		return err
	}
	w := c.env.table("REVISION", "AUTHOR", "TIME", "CHANGE")
	for i, change := range v.Record.History {
		writeRow(w, v.RevisionAt(i), change.Author, change.Time.Format(time.RFC3339), change.ID)
	}
	return w.Flush()
}

type digestCommand struct{ env *environment }

// Execute reads a key from standard input and prints its digest, with which a key can be
// found in the output of "team get".
func (c *digestCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return usageError("write the key to standard input: %v", err)
	}
	d := team.DigestOf(key)
	_, err = fmt.Fprintln(c.env.out, hex.EncodeToString(d[:]))
	return err
}
