package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Query describes the call that needs a member.
type Query struct {
	Priority call.Priority
	Deadline time.Time // zero if there is none
	Exclude  []string  // nodes tried before
	// AnyRegion says that a member refused the call for want of time or room: the
	// member that answers soonest is chosen, in whichever region it is, and none if
	// none is thought to have room.
	AnyRegion bool
	// PreferOtherRegion says that a member had too little time for the call. The members
	// of its region call the same members further down, so another region is tried
	// first.
	PreferOtherRegion bool
}

// Choice is the member that an attempt is sent to, and why.
type Choice struct {
	Member        Member
	Rule          string        // one of the Rule constants
	Score         float64       // expected response time in seconds with lost time, lower is better
	Expected      time.Duration // expected response time if the call is served
	RunnerUp      string        // node of the other candidate of the random pair, if any
	RunnerUpScore float64
	Candidates    int           // members that the pair was drawn from
	Load          float64       // estimated part of the member's limit in use
	BadRate       float64       // part of its recent calls that failed, were refused or told lost
	PressureAge   time.Duration // of what the member told, 0 if it told nothing
}

// Rules that a Choice names.
const (
	RuleLeastLoaded = "least_loaded" // the better of two members of the own region
	RuleLocal       = "local"        // a member of the own failure domain with room
	RuleOnlyOne     = "only_one"     // no other member could be chosen
	RuleSoonest     = "soonest"      // another one refused for want of time or room
	RuleSpill       = "spill"        // the own region is saturated
	RuleRemote      = "remote"       // the own region has no member to use
	RuleProbe       = "probe"        // an ejected member is tried
	RuleSuspect     = "suspect"      // only suspect members are left
	RuleLastResort  = "last_resort"  // only failing members are left
)

// Refusal says why no member was chosen. It is zero if one was.
type Refusal struct {
	Reason     call.Reason
	RetryAfter time.Duration
}

// Pick chooses the member for an attempt. The reasons of a refusal are no_member,
// throttled and deadline; the request then ran nowhere.
func (r *Router) Pick(q Query, now time.Time) (Choice, Refusal) {
	p := r.pool(q, now)
	if p.empty() {
		return r.refuse(call.ReasonNoMember)
	}
	if r.throttle.refuse(&r.cfg, q.Priority, r.rng, now) {
		r.throttle.refused(&r.cfg, q.Priority, now)
		return r.refuse(call.ReasonThrottled)
	}
	c, refusal := r.choose(&p, q, now)
	if refusal == (Refusal{}) {
		r.throttle.sent(&r.cfg, q.Priority, now)
	}
	return c, refusal
}

// choose tries the lists in order of preference.
func (r *Router) choose(p *pool, q Query, now time.Time) (Choice, Refusal) {
	if s := r.dueProbe(p.nearEjected, len(p.near) > 0, q, now); s != nil {
		return r.probe(s, now)
	}
	if q.AnyRegion {
		if s := r.soonest(p, q, now); s != nil {
			return r.choice(s, nil, RuleSoonest, len(p.near)+len(p.far), now)
		}
		return r.refuse(call.ReasonThrottled) // it would only be refused again
	}
	if len(p.near) == 0 {
		r.restore(p, now)
	}
	if len(p.near) > 0 {
		return r.chooseNear(p, q, now)
	}
	if len(p.far) > 0 {
		return r.chooseFar(p, q, now)
	}
	if suspects := slices.Concat(p.nearSuspect, p.farSuspect); len(suspects) > 0 {
		return r.chooseLast(suspects, RuleSuspect, q, now)
	}
	failing := slices.Concat(p.nearEjected, p.farEjected)
	failing = filter(failing, func(s *state) bool { return s.inFlight < r.cfg.LastResortInFlight })
	return r.chooseLast(failing, RuleLastResort, q, now)
}

// chooseNear chooses in the own region, or spills if that is saturated. If all
// members told that they refuse the priority, the call is refused here until
// their word has aged or a more important call brings news.
func (r *Router) chooseNear(p *pool, q Query, now time.Time) (Choice, Refusal) {
	admitting := filter(p.near, func(s *state) bool { return s.admits(&r.cfg, q.Priority, now) })
	free := filter(admitting, func(s *state) bool { return !s.saturated(&r.cfg, now) })
	if len(free) > 0 {
		r.spill.stayed(&r.cfg)
		if local := r.local(free, now); len(local) > 0 {
			return r.best(local, RuleLocal, q, now)
		}
		return r.best(free, RuleLeastLoaded, q, now)
	}
	if c, ok := r.trySpill(p, q, now); ok {
		return c, Refusal{}
	}
	if len(admitting) > 0 {
		r.spill.stayed(&r.cfg)
		return r.best(admitting, RuleLeastLoaded, q, now)
	}
	return r.refuse(call.ReasonThrottled)
}

// local returns the members of the own failure domain that are neither loaded nor
// much worse than the best of the list.
func (r *Router) local(list []*state, now time.Time) []*state {
	own := filter(list, func(s *state) bool {
		return s.Domain == r.cfg.Domain && s.utilization(&r.cfg, now) <= r.cfg.LocalLoad*s.ramp(&r.cfg, now)
	})
	if len(own) == 0 || len(own) == len(list) {
		return own
	}
	best := math.Inf(1)
	for _, s := range list {
		best = min(best, s.delay(&r.cfg, now))
	}
	return filter(own, func(s *state) bool { return s.delay(&r.cfg, now) <= r.cfg.LocalCost*best })
}

// soonest returns the member with room that is expected to answer first, or nil.
func (r *Router) soonest(p *pool, q Query, now time.Time) *state {
	if q.PreferOtherRegion {
		if s := r.soonestOf(p.far, q, now); s != nil {
			return s
		}
	}
	return r.soonestOf(slices.Concat(p.near, p.far), q, now)
}

func (r *Router) soonestOf(list []*state, q Query, now time.Time) *state {
	var best *state
	for _, s := range list {
		if s.saturated(&r.cfg, now) || !s.admits(&r.cfg, q.Priority, now) || !s.inTime(&r.cfg, q, now) {
			continue
		}
		if best == nil || s.score(&r.cfg, now) < best.score(&r.cfg, now) {
			best = s
		}
	}
	return best
}

// trySpill chooses in another region if a member there serves the call and the
// budget pays for it.
func (r *Router) trySpill(p *pool, q Query, now time.Time) (Choice, bool) {
	if s := r.dueProbe(p.farEjected, true, q, now); s != nil && r.takeSpill(q, now) {
		c, _ := r.probe(s, now)
		return c, true
	}
	serving := filter(p.far, func(s *state) bool { return spillServes(&r.cfg, s, q, now) })
	if len(serving) == 0 || !r.takeSpill(q, now) {
		return Choice{}, false
	}
	c, refusal := r.best(serving, RuleSpill, q, now)
	return c, refusal == Refusal{}
}

// takeSpill pays for a call past saturated members.
func (r *Router) takeSpill(q Query, now time.Time) bool {
	return r.spill.spill.Take(reserve(&r.cfg, q.Priority)*r.cfg.SpillBurst, now)
}

// takeRemote pays for a call to another region while the own has no member.
func (r *Router) takeRemote(q Query, now time.Time) bool {
	return r.spill.remote.Take(reserve(&r.cfg, q.Priority)*r.cfg.RemoteBurst, now)
}

// chooseFar chooses in other regions because the own has no member to use.
func (r *Router) chooseFar(p *pool, q Query, now time.Time) (Choice, Refusal) {
	if !r.takeRemote(q, now) {
		return r.refuse(call.ReasonThrottled)
	}
	if s := r.dueProbe(p.farEjected, true, q, now); s != nil {
		return r.probe(s, now)
	}
	admitting := filter(p.far, func(s *state) bool { return s.admits(&r.cfg, q.Priority, now) })
	if len(admitting) == 0 {
		return r.refuse(call.ReasonThrottled)
	}
	free := filter(admitting, func(s *state) bool { return !s.saturated(&r.cfg, now) })
	if len(free) > 0 {
		admitting = free
	}
	return r.best(admitting, RuleRemote, q, now)
}

// chooseLast chooses among members that are suspect or failing.
func (r *Router) chooseLast(list []*state, rule string, q Query, now time.Time) (Choice, Refusal) {
	near := filter(list, func(s *state) bool { return s.near(&r.cfg) })
	if len(near) > 0 {
		list = near
	} else if len(list) > 0 && !r.takeRemote(q, now) {
		return r.refuse(call.ReasonThrottled)
	}
	if len(list) == 0 {
		return r.refuse(call.ReasonNoMember)
	}
	return r.best(list, rule, q, now)
}

// dueProbe returns the ejected member whose probe is due for the longest time,
// or nil. Critical calls probe late, unless there is no healthy member.
func (r *Router) dueProbe(ejected []*state, healthy bool, q Query, now time.Time) *state {
	if healthy && q.Priority == call.PriorityCritical {
		now = now.Add(-r.cfg.ProbeGrace)
	}
	var due *state
	for _, s := range ejected {
		if !s.probeDue(&r.cfg, now) || s.Suspect {
			continue
		}
		if due == nil || s.ejectedUntil.Before(due.ejectedUntil) {
			due = s
		}
	}
	return due
}

// probe chooses an ejected member.
func (r *Router) probe(s *state, now time.Time) (Choice, Refusal) {
	s.probeSent = now
	return r.choice(s, nil, RuleProbe, 1, now)
}

// best draws two members of the list by weight and chooses the one with the
// lower score, after Mitzenmacher, The Power of Two Choices in Randomized Load
// Balancing, 2001. Members that cannot answer before the deadline are left out.
func (r *Router) best(list []*state, rule string, q Query, now time.Time) (Choice, Refusal) {
	list = filter(list, func(s *state) bool { return s.inTime(&r.cfg, q, now) })
	if len(list) == 0 {
		return r.refuse(call.ReasonDeadline)
	}
	if len(list) == 1 {
		if rule == RuleLeastLoaded {
			rule = RuleOnlyOne
		}
		return r.choice(list[0], nil, rule, 1, now)
	}
	a, b := r.drawTwo(list, now)
	if b.score(&r.cfg, now) < a.score(&r.cfg, now) {
		a, b = b, a
	}
	return r.choice(a, b, rule, len(list), now)
}

// inTime reports whether the member may answer before the deadline, judged by
// the way there and the wait that it told. The service time is left out, because
// it is a mean over classes that differ.
func (s *state) inTime(cfg *Config, q Query, now time.Time) bool {
	if q.Deadline.IsZero() {
		return true
	}
	least := s.distance(cfg)
	if s.fresh(cfg, now) && q.Priority >= s.pressure.AdmitPriority {
		least += s.queueDelay(cfg, now)
	}
	return now.Add(least).Before(q.Deadline)
}

// choice returns a Choice of s over runnerUp, which may be nil.
func (r *Router) choice(s, runnerUp *state, rule string, candidates int, now time.Time) (Choice, Refusal) {
	c := Choice{Member: s.Member, Rule: rule, Score: s.score(&r.cfg, now), Expected: s.expected(&r.cfg, now), Candidates: candidates}
	s.probed = true
	c.Load = s.utilization(&r.cfg, now)
	c.BadRate = s.badRate(&r.cfg, now)
	if s.pressure.Limit > 0 {
		c.PressureAge = now.Sub(s.pressureAt)
	}
	if runnerUp != nil {
		c.RunnerUp = runnerUp.Node
		c.RunnerUpScore = runnerUp.score(&r.cfg, now)
	}
	return c, Refusal{}
}

// refuse returns a Refusal with a spread wait, so that callers do not come back
// together.
func (r *Router) refuse(reason call.Reason) (Choice, Refusal) {
	return Choice{}, Refusal{Reason: reason, RetryAfter: spread(r.cfg.RetryAfter, r.rng)}
}
