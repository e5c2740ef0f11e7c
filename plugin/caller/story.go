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

// story collects the decisions about one request until its end is known, because
// only then is it clear whether they are logged.
type story struct {
	began  time.Time
	routes []routeEvent
	ends   []retryEvent
}

// routeEvent is the choice of a member.
type routeEvent struct {
	at      time.Duration // since the request arrived here
	attempt int
	hedged  bool // beside another attempt
	choice  routing.Choice
}

// retryEvent is what was decided after an attempt.
type retryEvent struct {
	at       time.Duration
	result   call.Result
	decision retry.Decision
}

func (s *story) routed(attempt int, c routing.Choice, hedged bool) {
	s.routes = append(s.routes, routeEvent{at: time.Since(s.began), attempt: attempt, hedged: hedged, choice: c})
}

func (s *story) retried(d retry.Decision, res call.Result) {
	s.ends = append(s.ends, retryEvent{at: time.Since(s.began), result: res, decision: d})
}

// notable reports whether a request did not go well.
func (r *request) notable(ans *kernel.Answer, took time.Duration) bool {
	if ans.Outcome != call.Answered || ans.Status >= http.StatusInternalServerError || r.attempts > 1 {
		return true
	}
	return r.Chain.Objective > 0 && took > r.Chain.Objective
}

// tell logs the decisions about a request and how it ended.
func (r *request) tell(ans *kernel.Answer) {
	took := time.Since(r.story.began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.c.k.Sampler.Keep(r.notable(ans, took), r.Chain.Cohort) {
		return
	}
	log := r.c.log.With(zap.String("request", r.Chain.RequestID), zap.String("chain", r.Chain.ID.String()), zap.String("service", r.Service), zap.String("class", r.Chain.Class))
	for i := range r.story.routes {
		e := &r.story.routes[i]
		c := &e.choice
		log.Info("route", zap.Duration("at", e.at), zap.Int("attempt", e.attempt), zap.Bool("hedged", e.hedged), zap.String("member", c.Member.Node),
			zap.String("region", c.Member.Region), zap.String("rule", c.Rule), zap.Float64("score", c.Score), zap.Float64("load", c.Load), zap.Float64("bad_rate", c.BadRate),
			zap.Duration("pressure_age", c.PressureAge), zap.String("runner_up", c.RunnerUp), zap.Float64("runner_up_score", c.RunnerUpScore), zap.Int("candidates", c.Candidates))
	}
	for i := range r.story.ends {
		e := &r.story.ends[i]
		log.Info("retry", zap.Duration("at", e.at), zap.Bool("retry", e.decision.Retry), zap.String("rule", e.decision.Rule), zap.Duration("delay", e.decision.Delay),
			zap.Stringer("outcome", e.result.Outcome), zap.String("reason", string(e.result.Reason)))
	}
	log.Info("request", zap.Stringer("outcome", ans.Outcome), zap.String("reason", string(ans.Reason)), zap.Int("status", ans.Status),
		zap.Int("attempts", r.attempts), zap.Stringer("priority", r.Chain.Priority), zap.Duration("took", took), zap.Duration("left", time.Until(r.Chain.Deadline)),
		zap.Duration("retry_after", ans.RetryAfter), zap.Uint64("state_revision", r.c.k.Replica.Revision()))
}
