package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

func servicePath(name string) string { return "/v1/services/" + url.PathEscape(name) }

type bindCommand struct {
	env    *environment
	Base   uint64 `long:"base" value-name:"REVISION" description:"revision of the binding that you have seen"`
	Create bool   `long:"create" description:"the service is not bound yet"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Profile string `positional-arg-name:"PROFILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute binds a service to a profile.
func (c *bindCommand) Execute([]string) error {
	if (c.Base == 0) == !c.Create {
		return usageError("give --base with the revision that service get prints, or --create for a service without a binding")
	}
	path := servicePath(c.Args.Service)
	if c.Create {
		base, err := c.env.deletedRevision(path)
		if err != nil {
			return err
		}
		c.Base = base
	}
	body, err := json.Marshal(adminapi.ServiceBinding{Profile: c.Args.Profile})
	if err != nil {
		return err
	}
	return c.env.change(http.MethodPut, path, profile.KindService.Key(c.Args.Service), c.Base, body)
}

type getBindingCommand struct {
	env *environment
	jsonOption
	Args struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the binding of a service.
func (c *getBindingCommand) Execute([]string) error {
	var v publish.Versioned
	if ok, err := c.env.fetch(http.MethodGet, servicePath(c.Args.Service), c.JSON, &v); !ok {
		return err
	}
	_, err := fmt.Fprintf(c.env.out, "%s runs under %s, revision %d or later; the binding is at revision %d by %s\n",
		v.Record.Name, v.Record.Profile, v.Record.Needs, v.Revision, v.Record.Change.Author)
	return err
}

type resolveCommand struct {
	env *environment
	jsonOption
	Settle bool `long:"settle" description:"if the change has not been applied, keep it from being applied later"`
	Args   struct {
		Change string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the outcome of a change.
func (c *resolveCommand) Execute([]string) error {
	ref, err := publish.ParseChangeRef(c.Args.Change)
	if err != nil {
		return usageError("%v", err)
	}
	method := http.MethodGet
	if c.Settle {
		method = http.MethodPost
	}
	var out publish.Outcome
	if ok, err := c.env.fetch(method, changePath(ref), c.JSON, &out); !ok {
		return err
	}
	switch out.Verdict {
	case publish.Accepted:
		return c.env.printAccepted(out)
	case publish.NotApplied:
		return &exitError{exitConflict, "not applied: " + out.Detail}
	}
	return &exitError{exitNotKnown, "not known yet: " + out.Detail + "\nwith --settle it is kept from arriving"}
}
