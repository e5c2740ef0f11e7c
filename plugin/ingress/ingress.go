// Package ingress takes requests that the desired state routes by host and path,
// for whichever listener read them.
package ingress

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/route"
)

func init() { kernel.Register("ingress", kernel.StageCaller, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	in := &ingress{k: k}
	k.Ingress = in
	return in, nil
}

// ingress is the plug-in.
type ingress struct{ k *kernel.Kernel }

// Start implements kernel.Plugin.
func (in *ingress) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (in *ingress) Stop(context.Context) error { return nil }

// Serve implements kernel.Ingress.
func (in *ingress) Serve(ctx context.Context, r *kernel.IngressRequest) (*kernel.Answer, error) {
	path, _, _ := strings.Cut(r.Target, "?")
	rule, err := in.k.Routes.Resolve(r.Host, path)
	if err != nil {
		return nil, err
	}
	return in.k.Caller.Do(ctx, in.request(r, rule)), nil
}

// request sets the chain of a request by its rule, and by the execution that
// makes the call if there is one.
func (in *ingress) request(r *kernel.IngressRequest, rule *route.Rule) *kernel.Request {
	c := &rule.Class
	wait := c.Deadline
	if r.Wait > 0 {
		wait = min(wait, r.Wait)
	}
	req := &kernel.Request{
		Service: rule.Pick(), Host: r.Host, Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body,
		Allowance: retry.NewAllowance(c.Retries),
		Chain: call.Chain{
			ID: call.NewID(), Class: c.Name, Priority: c.Priority, Idempotent: c.Idempotent, Deadline: time.Now().Add(wait),
			RequestID: r.RequestID, Origin: in.k.LocalService(), Cohort: uint32(xxhash.Sum64String(r.RequestID)),
			Objective: c.Objective, MaxSends: rule.MaxSends,
		},
	}
	if parent, ok := in.parent(r.RequestID); ok {
		req.Chain.ID = parent.Chain.ID
		req.Chain.Priority = parent.Chain.Priority
		req.Chain.Cohort = parent.Chain.Cohort
		req.Chain.Depth = parent.Chain.Depth
		req.Chain.Repeat = parent.Chain.Repeat
		req.Allowance = parent.Allowance
	}
	return req
}

// parent finds the execution beside this node that makes a call. Backend servers
// may name a call by the id of the request that they run, a dot and a part of
// their own; a call with an id of another form has its rule's own priority. The
// id is not trusted for more than importance and bounds.
func (in *ingress) parent(id string) (*kernel.Execution, bool) {
	at := strings.LastIndexByte(id, '.')
	if at < 0 {
		return nil, false
	}
	return in.k.Executions.LookupRequest(id[:at])
}
