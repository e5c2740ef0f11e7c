package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
)

type membersCommand struct {
	env *environment
	jsonOption
	Service string `long:"service" value-name:"NAME" description:"list the members of one service"`
}

// Execute lists the members.
func (c *membersCommand) Execute([]string) error {
	path := "/v1/members"
	if c.Service != "" {
		path += "?service=" + url.QueryEscape(c.Service)
	}
	var list []adminapi.Member
	if ok, err := c.env.fetch(http.MethodGet, path, c.JSON, &list); !ok {
		return err
	}
	w := c.env.table("NODE", "SERVICE", "ADDR", "REGION", "FAILURE-DOMAIN", "STATE")
	for _, m := range list {
		writeRow(w, m.Node, m.Service, m.Addr, m.Region, m.FailureDomain, m.State)
	}
	return w.Flush()
}

type statusCommand struct {
	env *environment
	jsonOption
	Follow bool `long:"follow" description:"print the state every two seconds until interrupted"`
}

// followInterval is the time between two requests for the state.
const followInterval = 2 * time.Second

// Execute prints the state of the node and the bindings in force there.
func (c *statusCommand) Execute([]string) error {
	err := c.printStatus()
	for c.Follow && err == nil {
		time.Sleep(followInterval)
		fmt.Fprintln(c.env.out)
		err = c.printStatus()
	}
	return err
}

func (c *statusCommand) printStatus() error {
	var s adminapi.Status
	if ok, err := c.env.fetch(http.MethodGet, "/v1/status", c.JSON, &s); !ok {
		return err
	}
	fmt.Fprintf(c.env.out, "node %s  draining %t  members %d  revision %d\n", s.Node, s.Draining, s.Members, s.Revision)
	w := c.env.table("SERVICE", "PROFILE", "REVISION", "WAITS FOR")
	for _, b := range s.Bindings {
		pending := ""
		if b.Pending != "" {
			pending = fmt.Sprintf("%s at %d", b.Pending, b.Needs)
		}
		writeRow(w, b.Service, b.Profile, b.Revision, pending)
	}
	return w.Flush()
}

type drainCommand struct {
	env *environment
}

// Execute begins a graceful shutdown of the node.
func (c *drainCommand) Execute([]string) error {
	resp, err := c.env.call(http.MethodPost, "/v1/drain", nil, nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusAccepted {
		return problemError(resp)
	}
	_, err = fmt.Fprintln(c.env.out, "draining")
	return err
}
