package ingress

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/route"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// sender says on whose behalf a request was sent. Both fields may be nil: a request of a
// client on a public route, or without teams in the desired state.
type sender struct {
	team   *team.Team        // holds the API key of a client request
	parent *kernel.Execution // has made the sub-call
}

// errUnauthorized is returned for every request without a known key. It says nothing of
// the request, and is made once, because a rejection must cost little.
var errUnauthorized = errs.New(errs.Unauthorized, "send Authorization: Bearer KEY with a key of the team", "the request has no known API key")

// identify returns the sender of a request. A request with credentials is a client
// request; on routes that are not public, a request without them must be a sub-call of a
// running execution. If identify returns an answer or an error, the request must not run.
func (in *ingress) identify(r *kernel.IngressRequest, rule *route.Rule, teams *team.Registry) (sender, *kernel.Answer, error) {
	if teams == nil || rule.Public {
		parent, _ := in.parentExecution(r.RequestID)
		return sender{parent: parent}, nil, nil
	}
	if len(r.Credentials) == 0 {
		if parent, ok := in.parentExecution(r.RequestID); ok {
			return sender{parent: parent}, nil, nil
		}
		if hasParentID(r.RequestID) {
			return sender{}, in.refuse(r, rule, call.ReasonNoParent, identityRetryAfter), nil
		}
	}
	if in.stateIsStale() {
		return sender{}, in.refuse(r, rule, call.ReasonStaleState, identityRetryAfter), nil
	}
	t, ok := teams.Authenticate(r.Credentials)
	if !ok {
		in.unauthorized.Inc(1)
		in.k.Log.Info("request_unauthorized", zap.String("request", r.RequestID), zap.String("host", r.Host), zap.String("rule", rule.Name),
			zap.String("cause", string(team.RejectionCause(r.Credentials))))
		return sender{}, nil, errUnauthorized
	}
	return sender{team: t}, nil, nil
}

// stateIsStale reports whether this node must not decide on keys, because it has had no
// proof for too long that no newer state exists.
func (in *ingress) stateIsStale() bool {
	b := &in.k.Settings.Bounds
	return b.RevokeFailClosed && in.k.Replica.ProofAge() > b.Revoke
}

// refuse logs a refusal, like those of requests that were sent on, and returns it.
func (in *ingress) refuse(r *kernel.IngressRequest, rule *route.Rule, reason call.Reason, retryAfter time.Duration) *kernel.Answer {
	if in.k.Sampler.Keep(true, cohort(r.RequestID)) {
		in.k.Log.Info("request_refused", zap.String("request", r.RequestID), zap.String("host", r.Host), zap.String("rule", rule.Name),
			zap.String("reason", string(reason)), zap.Duration("retry_after", retryAfter))
	}
	return &kernel.Answer{Result: call.Result{Outcome: call.Refused, Reason: reason, RetryAfter: retryAfter}}
}

// identityRetryAfter is when a request without a running parent, or one refused for lack
// of a proof of the keys, may be sent again. Nodes compare their states every 400 ms.
const identityRetryAfter = 400 * time.Millisecond

// hasParentID reports whether a request ID has the form of that of a sub-call: the ID of
// the request that is executed, a dot and a suffix.
func hasParentID(id string) bool { return strings.LastIndexByte(id, '.') > 0 }

// parentExecution returns the running execution that made a sub-call. A backend
// server may form the id of a sub-call from the id of the request that it executes,
// a dot and a suffix. A call with any other id keeps the priority of its rule. The
// id is not authenticated: whoever knows the id of a request that runs at this node can
// send sub-calls of it.
func (in *ingress) parentExecution(id string) (*kernel.Execution, bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil, false
	}
	return in.k.Executions.LookupRequest(id[:dot])
}
