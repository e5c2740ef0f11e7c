package caller

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
)

// decisionLog collects the decisions about one request. Whether they are logged
// depends on how the request ends.
type decisionLog struct {
	startedAt time.Time
	routes    []routeEvent
	retries   []retryEvent
}

// routeEvent records which member was chosen for an attempt.
type routeEvent struct {
	at      time.Duration // since the request arrived at this node
	attempt int
	hedged  bool // made in parallel with another attempt
	choice  routing.Choice
}

// retryEvent records the retry decision after an attempt.
type retryEvent struct {
	at       time.Duration
	result   call.Result
	decision retry.Decision
}

func (l *decisionLog) recordRoute(attempt int, c routing.Choice, hedged bool) {
	l.routes = append(l.routes, routeEvent{at: time.Since(l.startedAt), attempt: attempt, hedged: hedged, choice: c})
}

func (l *decisionLog) recordRetry(d retry.Decision, res call.Result) {
	l.retries = append(l.retries, retryEvent{at: time.Since(l.startedAt), result: res, decision: d})
}

// notable reports whether a request failed, needed more than one attempt or exceeded
// its latency objective.
func (r *request) notable(ans *kernel.Answer, took time.Duration) bool {
	if ans.Outcome != call.Answered || ans.Status >= http.StatusInternalServerError || r.attempts > 1 {
		return true
	}
	return r.Chain.Objective > 0 && took > r.Chain.Objective
}

// logDecisions logs the decisions about a request and its outcome, if the sampler
// keeps it.
func (r *request) logDecisions(ans *kernel.Answer) {
	took := time.Since(r.decisions.startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.caller.k.Sampler.Keep(r.notable(ans, took), r.Chain.Cohort) {
		return
	}
	log := r.caller.log.With(zap.String("request", r.Chain.RequestID), zap.String("chain", r.Chain.ID.String()), zap.String("service", r.Service), zap.String("class", r.Chain.Class))
	for i := range r.decisions.routes {
		e := &r.decisions.routes[i]
		c := &e.choice
		log.Info("route", zap.Duration("at", e.at), zap.Int("attempt", e.attempt), zap.Bool("hedged", e.hedged), zap.String("member", c.Member.Node),
			zap.String("region", c.Member.Region), zap.String("rule", c.Rule), zap.Float64("score", c.Score), zap.Float64("load", c.Load), zap.Float64("bad_rate", c.BadRate), zap.Float64("pace", c.Pace),
			zap.Duration("pressure_age", c.PressureAge), zap.String("runner_up", c.RunnerUp), zap.Float64("runner_up_score", c.RunnerUpScore), zap.Int("candidates", c.Candidates),
			zap.Bool("others_free", c.OthersFree))
	}
	for i := range r.decisions.retries {
		e := &r.decisions.retries[i]
		log.Info("retry", zap.Duration("at", e.at), zap.Bool("retry", e.decision.Retry), zap.String("rule", e.decision.Rule), zap.Duration("delay", e.decision.Delay),
			zap.Stringer("outcome", e.result.Outcome), zap.String("reason", string(e.result.Reason)))
	}
	log.Info("request", zap.Stringer("outcome", ans.Outcome), zap.String("reason", string(ans.Reason)), zap.Int("status", ans.Status),
		zap.Int("attempts", r.attempts), zap.Stringer("priority", r.Chain.Priority), zap.Duration("took", took), zap.Duration("left", time.Until(r.Chain.Deadline)),
		zap.Duration("retry_after", ans.RetryAfter),
		zap.Bool("chain_refused", ans.ChainRefused),
		zap.Uint64("state_revision", r.caller.k.Replica.Revision()), teamField(r.Chain.Team))
}

// teamField returns the field with the team of a request, or none if there is no team.
func teamField(name string) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("team", name)
}
