package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Query describes the call for which Pick selects a member.
type Query struct {
	Priority call.Priority
	Deadline time.Time // zero if there is none
	Exclude  []string  // nodes that were already tried
	// Cohort is a random number that all calls of one chain share, 0 if there is none.
	// The throttle refuses the chains with the highest ones.
	Cohort uint32
	// Team is the team on whose behalf the call is made, "" if unknown. The throttle
	// refuses the calls of teams over their fair share before others.
	Team string
	// LargeBody is set for a request whose body costs more on a link between regions than
	// an answer is worth. It goes to another region only if the caller's has no usable
	// member.
	LargeBody bool
	// AnyRegion is set after a member refused the call because of its deadline or
	// for lack of capacity. Pick then selects, in any region, the member that is
	// expected to answer first, and refuses the call if no member has capacity.
	AnyRegion bool
	// PreferOtherRegion is set after a member refused the call because of its
	// deadline. The members of one region share their downstream members, so other
	// regions are tried first. It has no effect without AnyRegion.
	PreferOtherRegion bool
}

// Choice is the member selected for an attempt and the reasons for the selection.
type Choice struct {
	Member        Member
	Rule          string        // one of the Rule constants
	Score         float64       // expected response time in seconds, including penalties for load and failures; lower is better
	Expected      time.Duration // expected response time if the member serves the call
	RunnerUp      string        // node of the other member of the random pair, if any
	RunnerUpScore float64
	Candidates    int           // number of members that the pair was drawn from
	Load          float64       // estimated fraction of the member's limit in use
	BadRate       float64       // fraction of its recent calls that failed, were refused or were reported lost
	PressureAge   time.Duration // age of the reported pressure, 0 if none was reported
	OthersFree    bool          // another member of the caller's region that reports its pace has capacity
	Pace          float64       // expected execution time as a multiple of the usual one, 0 if unknown
}

// Values of Choice.Rule.
const (
	RuleLeastLoaded = "least_loaded" // the better of two members of the caller's region
	RuleLocal       = "local"        // a member of the caller's failure domain with capacity
	RuleOnlyOne     = "only_one"     // no other member was available
	RuleSoonest     = "soonest"      // another member refused because of the deadline or lack of capacity
	RuleSpill       = "spill"        // the caller's region is saturated
	RuleRemote      = "remote"       // the caller's region has no usable member
	RuleProbe       = "probe"        // an ejected member is probed
	RuleSuspect     = "suspect"      // only suspect members are left
	RuleLastResort  = "last_resort"  // only ejected members are left
)

// Refusal says why no member was selected. It is zero if one was.
type Refusal struct {
	Reason     call.Reason
	RetryAfter time.Duration
}

// Pick selects the member for an attempt. A refusal has the reason no_member,
// throttled or deadline, and the call was not sent to any member.
func (r *Router) Pick(q Query, now time.Time) (Choice, Refusal) {
	p := r.candidates(q, now)
	if p.empty() {
		return r.refuse(call.ReasonNoMember)
	}
	if r.throttle.shouldRefuse(&r.cfg, &q, r.rng, now) {
		r.throttle.recordRefused(&r.cfg, q.Priority, now)
		return r.refuse(call.ReasonThrottled)
	}
	c, refusal := r.choose(&p, q, now)
	if refusal == (Refusal{}) {
		r.throttle.recordSent(&r.cfg, q.Priority, now)
	}
	return c, refusal
}

// choose tries the candidate lists in order of preference.
func (r *Router) choose(p *candidatePool, q Query, now time.Time) (Choice, Refusal) {
	if s := r.dueProbe(p.inRegionEjected, len(p.inRegion) > 0, q, now); s != nil {
		return r.chooseProbe(s, now)
	}
	if q.AnyRegion {
		if s := r.soonestMember(p, q, now); s != nil {
			return r.newChoice(s, nil, RuleSoonest, len(p.inRegion)+len(p.remote), now)
		}
		return r.refuse(call.ReasonThrottled) // every member would refuse it again
	}
	if len(p.inRegion) == 0 {
		r.endSharedCauseEjections(p, now)
	}
	if len(p.inRegion) > 0 {
		return r.chooseInRegion(p, q, now)
	}
	if len(p.remote) > 0 {
		return r.chooseRemote(p, q, now)
	}
	if suspects := slices.Concat(p.inRegionSuspect, p.remoteSuspect); len(suspects) > 0 {
		return r.chooseUnhealthy(suspects, RuleSuspect, q, now)
	}
	ejected := slices.Concat(p.inRegionEjected, p.remoteEjected)
	ejected = filter(ejected, func(s *memberState) bool { return s.inFlight < r.cfg.LastResortInFlight })
	return r.chooseUnhealthy(ejected, RuleLastResort, q, now)
}

// chooseInRegion selects a member in the caller's region, or in another one if that
// is saturated. If all members reported that they refuse the priority, the call is
// refused locally until the reports have aged or a more important call returns a new
// one.
func (r *Router) chooseInRegion(p *candidatePool, q Query, now time.Time) (Choice, Refusal) {
	admitting := filter(p.inRegion, func(s *memberState) bool { return s.admits(&r.cfg, q.Priority, now) })
	free := filter(admitting, func(s *memberState) bool { return !s.saturated(&r.cfg, now) })
	if len(free) > 0 {
		r.budget.depositInRegion(&r.cfg)
		choice, refusal := r.chooseFree(free, q, now)
		choice.OthersFree = slices.ContainsFunc(free, func(s *memberState) bool { return s.paced() && s.Node != choice.Member.Node })
		return choice, refusal
	}
	if !q.LargeBody {
		if c, ok := r.trySpill(p, q, now); ok {
			return c, Refusal{}
		}
	}
	if len(admitting) > 0 {
		r.budget.depositInRegion(&r.cfg)
		return r.chooseBest(admitting, RuleLeastLoaded, q, now)
	}
	return r.refuse(call.ReasonThrottled)
}

// chooseFree selects among the members of the caller's region that have capacity.
func (r *Router) chooseFree(free []*memberState, q Query, now time.Time) (Choice, Refusal) {
	if local := r.localMembers(free, now); len(local) > 0 {
		return r.chooseBest(local, RuleLocal, q, now)
	}
	return r.chooseBest(free, RuleLeastLoaded, q, now)
}

// localMembers returns the members of the caller's failure domain that are below
// LocalLoad and within LocalCost of the best member of the list.
func (r *Router) localMembers(list []*memberState, now time.Time) []*memberState {
	local := filter(list, func(s *memberState) bool {
		return s.Domain == r.cfg.Domain && s.utilization(&r.cfg, now) <= r.cfg.LocalLoad*s.ramp(&r.cfg, now)
	})
	if len(local) == 0 || len(local) == len(list) {
		return local
	}
	best := math.Inf(1)
	for _, s := range list {
		best = min(best, s.scoreWithoutLoad(&r.cfg, now))
	}
	return filter(local, func(s *memberState) bool { return s.scoreWithoutLoad(&r.cfg, now) <= s.localCost(&r.cfg)*best })
}

// soonestMember returns the member with capacity that is expected to answer first,
// or nil.
func (r *Router) soonestMember(p *candidatePool, q Query, now time.Time) *memberState {
	if q.LargeBody && r.hasMemberInRegion(now) {
		return r.soonestIn(p.inRegion, q, now)
	}
	if q.PreferOtherRegion {
		if s := r.soonestIn(p.remote, q, now); s != nil {
			return s
		}
	}
	return r.soonestIn(slices.Concat(p.inRegion, p.remote), q, now)
}

// hasMemberInRegion reports whether the caller's region has a usable member, tried or not.
func (r *Router) hasMemberInRegion(now time.Time) bool {
	return slices.ContainsFunc(r.current, func(s *memberState) bool {
		return s.inRegion(&r.cfg) && !s.ejected && !s.Suspect && !s.leaving(&r.cfg, now)
	})
}

// soonestIn returns the member of the list that is expected to answer first, or nil. A
// load that is only assumed rules no member out: the call has been refused once and is
// lost if there is no member to try.
func (r *Router) soonestIn(list []*memberState, q Query, now time.Time) *memberState {
	var best *memberState
	for _, s := range list {
		if s.certainlySaturated(&r.cfg, now) || !s.admits(&r.cfg, q.Priority, now) || !s.canMeetDeadline(&r.cfg, q, now) {
			continue
		}
		if best == nil || s.score(&r.cfg, now) < best.score(&r.cfg, now) {
			best = s
		}
	}
	return best
}

// trySpill selects a member of another region if one can serve the call and the
// budget allows it.
func (r *Router) trySpill(p *candidatePool, q Query, now time.Time) (Choice, bool) {
	takeToken := r.takeSpillToken
	if slices.ContainsFunc(p.inRegion, (*memberState).rateLimited) {
		takeToken = r.takeRemoteToken // the budget for spilled calls is for estimates of saturation; an announced limit is certain
	}
	if s := r.dueProbe(p.remoteEjected, true, q, now); s != nil && takeToken(q, now) {
		c, _ := r.chooseProbe(s, now)
		return c, true
	}
	serving := filter(p.remote, func(s *memberState) bool { return canServeSpill(&r.cfg, s, q, now) })
	if len(serving) == 0 || !takeToken(q, now) {
		return Choice{}, false
	}
	c, refusal := r.chooseBest(serving, RuleSpill, q, now)
	return c, refusal == Refusal{}
}

// takeSpillToken takes a token for a call that bypasses saturated members.
func (r *Router) takeSpillToken(q Query, now time.Time) bool {
	return r.budget.spill.Take(reserve(&r.cfg, q.Priority)*r.cfg.SpillBurst, now)
}

// takeRemoteToken takes a token for a call to another region while the caller's region
// has no usable member.
func (r *Router) takeRemoteToken(q Query, now time.Time) bool {
	return r.budget.remote.Take(reserve(&r.cfg, q.Priority)*r.cfg.RemoteBurst, now)
}

// chooseRemote selects a member of another region because the caller's region has no
// usable one.
func (r *Router) chooseRemote(p *candidatePool, q Query, now time.Time) (Choice, Refusal) {
	if !r.takeRemoteToken(q, now) {
		return r.refuse(call.ReasonThrottled)
	}
	if s := r.dueProbe(p.remoteEjected, true, q, now); s != nil {
		return r.chooseProbe(s, now)
	}
	admitting := filter(p.remote, func(s *memberState) bool { return s.admits(&r.cfg, q.Priority, now) })
	if len(admitting) == 0 {
		return r.refuse(call.ReasonThrottled)
	}
	free := filter(admitting, func(s *memberState) bool { return !s.saturated(&r.cfg, now) })
	if len(free) > 0 {
		admitting = free
	}
	return r.chooseBest(admitting, RuleRemote, q, now)
}

// chooseUnhealthy selects among suspect or ejected members, in other regions only if
// there are none in the caller's region.
func (r *Router) chooseUnhealthy(list []*memberState, rule string, q Query, now time.Time) (Choice, Refusal) {
	inRegion := filter(list, func(s *memberState) bool { return s.inRegion(&r.cfg) })
	if len(inRegion) > 0 {
		list = inRegion
	} else if len(list) > 0 && !r.takeRemoteToken(q, now) {
		return r.refuse(call.ReasonThrottled)
	}
	if len(list) == 0 {
		return r.refuse(call.ReasonNoMember)
	}
	return r.chooseBest(list, rule, q, now)
}

// dueProbe returns the ejected member whose probe has been due for longest, or nil.
// While healthy members are left, a critical call becomes a probe only once the probe
// is overdue by ProbeGrace.
func (r *Router) dueProbe(ejected []*memberState, haveHealthy bool, q Query, now time.Time) *memberState {
	if haveHealthy && q.Priority == call.PriorityCritical {
		now = now.Add(-r.cfg.ProbeGrace)
	}
	var due *memberState
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

// chooseProbe selects an ejected member for a probe.
func (r *Router) chooseProbe(s *memberState, now time.Time) (Choice, Refusal) {
	s.lastProbeAt = now
	return r.newChoice(s, nil, RuleProbe, 1, now)
}

// chooseBest draws two members of the list by weight and selects the one with the
// lower score, after Mitzenmacher, The Power of Two Choices in Randomized Load
// Balancing, 2001. Members that cannot answer before the deadline are skipped.
func (r *Router) chooseBest(list []*memberState, rule string, q Query, now time.Time) (Choice, Refusal) {
	list = filter(list, func(s *memberState) bool { return s.canMeetDeadline(&r.cfg, q, now) })
	if len(list) == 0 {
		return r.refuse(call.ReasonDeadline)
	}
	if len(list) == 1 {
		if rule == RuleLeastLoaded {
			rule = RuleOnlyOne
		}
		return r.newChoice(list[0], nil, rule, 1, now)
	}
	a, b := r.drawTwo(list, now)
	if b.score(&r.cfg, now) < a.score(&r.cfg, now) {
		a, b = b, a
	}
	return r.newChoice(a, b, rule, len(list), now)
}

// canMeetDeadline reports whether the member may answer before the deadline, given
// the round trip and the queue delay that it reported. The service time is left out,
// because it is a mean over classes that differ.
func (s *memberState) canMeetDeadline(cfg *Config, q Query, now time.Time) bool {
	if q.Deadline.IsZero() {
		return true
	}
	earliest := s.roundTrip(cfg)
	if s.hasFreshPressure(cfg, now) && q.Priority >= s.pressure.AdmitPriority {
		earliest += s.queueDelay(cfg, now)
	}
	return now.Add(earliest).Before(q.Deadline)
}

// newChoice returns the Choice of s over runnerUp, which may be nil, and marks s as
// tried.
func (r *Router) newChoice(s, runnerUp *memberState, rule string, candidates int, now time.Time) (Choice, Refusal) {
	c := Choice{Member: s.Member, Rule: rule, Score: s.score(&r.cfg, now), Expected: s.expectedResponse(&r.cfg, now), Candidates: candidates}
	s.triedSinceEjection = true
	c.Load = s.utilization(&r.cfg, now)
	c.BadRate = s.badRate(&r.cfg, now)
	c.Pace = s.pace(&r.cfg, now)
	if s.pressure.Limit > 0 {
		c.PressureAge = now.Sub(s.pressureAt)
	}
	if runnerUp != nil {
		c.RunnerUp = runnerUp.Node
		c.RunnerUpScore = runnerUp.score(&r.cfg, now)
	}
	return c, Refusal{}
}

// refuse returns a Refusal. Its wait has jitter, so that callers do not retry in
// lockstep.
func (r *Router) refuse(reason call.Reason) (Choice, Refusal) {
	return Choice{}, Refusal{Reason: reason, RetryAfter: jitter(r.cfg.RetryAfter, r.rng)}
}
