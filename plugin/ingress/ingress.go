// Package ingress accepts requests from the listeners and routes them by host and
// path, according to the routes of the desired state.
package ingress

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/route"
)

func init() { kernel.Register("ingress", kernel.StageCaller, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	in := &ingress{k: k, unauthorized: metrics.GetOrRegisterCounter("requests.unauthorized", k.Metrics)}
	k.Ingress = in
	metrics.NewRegisteredFunctionalGauge("teams.known", k.Metrics, in.teamsKnown)
	return in, nil
}

// ingress implements kernel.Ingress.
type ingress struct {
	k            *kernel.Kernel
	unauthorized metrics.Counter // requests without a known API key
}

// teamsKnown returns the number of teams in the desired state, or else in the operators'
// record.
func (in *ingress) teamsKnown() int64 {
	if t := in.k.Routes.Current(); t != nil && t.Teams != nil {
		return int64(t.Teams.Len())
	}
	return int64(in.k.Profiles.Snapshot().Teams().Len())
}

// Start implements kernel.Plugin.
func (in *ingress) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (in *ingress) Stop(context.Context) error { return nil }

// cohort returns the cohort of the chain that begins with a request.
func cohort(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// Serve implements kernel.Ingress.
func (in *ingress) Serve(ctx context.Context, r *kernel.IngressRequest) (*kernel.Answer, error) {
	path, _, _ := strings.Cut(r.Target, "?")
	rule, table, err := in.k.Routes.Resolve(r.Host, path)
	if err != nil {
		return nil, err
	}
	from, refusal, err := in.identify(r, rule, table.Teams)
	if err != nil || refusal != nil {
		return refusal, err
	}
	if table.Teams == nil {
		maps.Copy(r.Header, r.HeaderWithoutTeams)
	}
	deadline := time.Now().Add(timeoutOf(r, rule))
	if ans := in.refuseLeaving(r, rule, from, deadline); ans != nil {
		return ans, nil
	}
	return in.k.WithinQuota(ctx, from.team, kernel.QuotaRequest{ID: r.RequestID, Cohort: cohort(r.RequestID), Deadline: deadline}, func() (*kernel.Answer, error) {
		if err := readBody(ctx, r, rule); err != nil {
			return nil, err
		}
		req := in.newRequest(r, rule, from)
		if ans := in.refuseLeaving(r, rule, from, req.Chain.Deadline); ans != nil {
			return ans, nil // the body took long
		}
		return in.k.Caller.Do(ctx, req), nil
	})
}

// refuseLeaving refuses a request if this node takes no more, or if the request may run for
// longer than this node, which is about to stop. Sub-calls are exempt: their parents were
// accepted before and fail without them.
func (in *ingress) refuseLeaving(r *kernel.IngressRequest, rule *route.Rule, from sender, deadline time.Time) *kernel.Answer {
	if from.parent != nil || !in.k.Drain.Closing() {
		return nil
	}
	retryAfter, overruns := in.k.Drain.Overruns(deadline, time.Now())
	if !overruns && !in.k.Drain.Leaving() {
		return nil
	}
	return in.refuse(r, rule, call.ReasonLeaving, retryAfter)
}

const (
	// maxRoomWait bounds the wait for room for a body, and roomWaitFraction the part of
	// the time of the request that it may take. A longer wait leaves too little time to
	// run the request.
	maxRoomWait      = 2 * time.Second
	roomWaitFraction = 0.5
)

// readBody reads the body of a request that is not refused otherwise. The time of the
// request begins after it.
func readBody(ctx context.Context, r *kernel.IngressRequest, rule *route.Rule) error {
	if r.ReadBody == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxRoomWait, time.Duration(roomWaitFraction*float64(timeoutOf(r, rule)))))
	defer cancel()
	var err error
	r.Body, err = r.ReadBody(ctx)
	return err
}

// timeoutOf returns the time that a request has: that of its class, or that of the caller
// if it is shorter.
func timeoutOf(r *kernel.IngressRequest, rule *route.Rule) time.Duration {
	if r.Wait > 0 {
		return min(rule.Class.Deadline, r.Wait)
	}
	return rule.Class.Deadline
}

// newRequest returns the request to send, with the class and the limits of the
// matching rule. The priority of the team takes precedence over that of the rule. A
// sub-call of a running execution continues the chain of that execution and takes over
// its team, priority and retry allowance; class and MaxSends still come from the rule,
// and the deadline from the rule and the caller.
func (in *ingress) newRequest(r *kernel.IngressRequest, rule *route.Rule, from sender) *kernel.Request {
	class := &rule.Class
	req := &kernel.Request{
		Service: rule.Pick(), Host: r.Host, Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body,
		Allowance: retry.NewAllowance(class.Retries),
		Chain: call.Chain{
			ID: call.NewID(), Class: class.Name, Priority: class.Priority, Idempotent: class.Idempotent, Deadline: time.Now().Add(timeoutOf(r, rule)),
			RequestID: r.RequestID, Origin: in.k.LocalService(), Cohort: cohort(r.RequestID),
			Objective: class.Objective, MaxSends: rule.MaxSends,
		},
	}
	if t := from.team; t != nil {
		req.Chain.Team = t.Name
		if t.Priority != nil {
			req.Chain.Priority = *t.Priority
		}
	}
	if parent := from.parent; parent != nil {
		req.Chain.ID = parent.Chain.ID
		req.Chain.Team = parent.Chain.Team
		req.Chain.Priority = parent.Chain.Priority
		req.Chain.Cohort = parent.Chain.Cohort
		req.Chain.Depth = parent.Chain.Depth
		req.Chain.Repeat = parent.Chain.Repeat
		req.Allowance = parent.Allowance
		req.Parent = parent
	} else {
		req.FromClient = !hasParentID(r.RequestID)
	}
	return req
}
