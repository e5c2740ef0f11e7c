package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Router chooses members of one service for one caller's node.
type Router struct {
	cfg      Config
	rng      *rand.Rand
	members  map[string]*state
	live     []*state // in the membership, by node id
	throttle throttle
	spill    spillBudget
	mean     meanService
	explored time.Time        // when another region was last seen at work
	changes  []EjectionChange // not taken yet
}

// New returns a router without members.
func New(cfg Config, rng *rand.Rand) *Router {
	return &Router{
		cfg:     cfg,
		rng:     rng,
		members: map[string]*state{},
		spill:   newSpillBudget(&cfg),
	}
}

// Update replaces the membership. What was learned of a member is kept, also
// for some time after it is gone.
func (r *Router) Update(members []Member, now time.Time) {
	for _, s := range r.live {
		s.goneSince = now
	}
	r.live = r.live[:0]
	for _, m := range members {
		r.see(m, now)
	}
	slices.SortFunc(r.live, func(a, b *state) int { return strings.Compare(a.Node, b.Node) })
	r.forget(now)
}

// see takes in one entry of the membership.
func (r *Router) see(m Member, now time.Time) {
	s := r.members[m.Node]
	if s == nil {
		s = &state{firstSeen: now, mean: &r.mean}
		r.members[m.Node] = s
		s.goneSince = now
	}
	if m.Incarnation > s.Incarnation && !s.leftAt.IsZero() {
		// Announced anew after it was leaving, with a cold backend server.
		s.leftAt = time.Time{}
		s.firstSeen = now
	}
	s.Member = m
	if s.goneSince.IsZero() {
		return // listed twice
	}
	s.goneSince = time.Time{}
	r.live = append(r.live, s)
}

// forget drops members that are gone for long and have no call in flight.
func (r *Router) forget(now time.Time) {
	for node, s := range r.members {
		gone := !s.goneSince.IsZero() && now.Sub(s.goneSince) > r.cfg.ForgetAfter
		if gone && s.inFlight == 0 {
			delete(r.members, node)
		}
	}
}

// Start records that an attempt is sent to the node.
func (r *Router) Start(node string, now time.Time) {
	if s := r.members[node]; s != nil {
		s.inFlight++
	}
}

// Finish records how an attempt ended at the node. Each Start is followed by
// one Finish, and each Finish goes with one Record.
func (r *Router) Finish(node string, res call.Result, now time.Time) {
	s := r.members[node]
	if s == nil {
		return
	}
	ejectable := judge(res) != verdictError || r.outlier(s, now)
	was := s.ejected
	s.finish(&r.cfg, res, ejectable, r.rng, now)
	switch {
	case s.ejected && !was:
		r.changes = append(r.changes, EjectionChange{Node: node, Ejected: true, FailureRate: s.ejectedRate, Until: s.ejectedUntil})
	case was && !s.ejected && judge(res) == verdictError:
		r.changes = append(r.changes, EjectionChange{Node: node, FailureRate: s.ejectedRate, OthersFailAlike: true})
	case was && !s.ejected:
		r.changes = append(r.changes, EjectionChange{Node: node})
	}
}

// EjectionChange is an ejection or its end.
type EjectionChange struct {
	Node            string
	Ejected         bool
	FailureRate     float64   // of recent calls
	Until           time.Time // when the first probe is due
	OthersFailAlike bool      // ended since the other members fail alike
}

// TakeChanges returns the changes since the last call, for the log.
func (r *Router) TakeChanges() []EjectionChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// Record counts the end of an attempt of that priority for the throttle, which
// takes an attempt for accepted until it hears of a refusal.
func (r *Router) Record(p call.Priority, res call.Result, now time.Time) {
	r.throttle.finished(&r.cfg, p, res, now)
}

// MemberStatus is what a router knows of one member, for the status page.
type MemberStatus struct {
	Member
	InFlight     int     // own calls
	Load         float64 // estimated calls at the member
	Limit        float64 // concurrency limit
	Score        float64 // expected response time in seconds, lower is better
	Ramp         float64 // part of the full load that a new member gets
	FailureRate  float64
	RefusalRate  float64
	Leaving      bool      // by the membership or by its own word
	Ejected      bool      // gets only probes
	EjectedUntil time.Time // when the next probe is due
	PressureAge  time.Duration
}

// Snapshot returns the status of each member, by node id.
func (r *Router) Snapshot(now time.Time) []MemberStatus {
	all := make([]MemberStatus, 0, len(r.live))
	for _, s := range r.live {
		all = append(all, r.status(s, now))
	}
	return all
}

// status returns the status of one member.
func (r *Router) status(s *state, now time.Time) MemberStatus {
	st := MemberStatus{
		Member:       s.Member,
		InFlight:     s.inFlight,
		Load:         s.load(&r.cfg, now),
		Limit:        s.limit(&r.cfg),
		Score:        s.score(&r.cfg, now),
		Ramp:         s.ramp(&r.cfg, now),
		FailureRate:  s.outcomes.rate(&r.cfg, now),
		RefusalRate:  s.refusals.rate(&r.cfg, now),
		Leaving:      s.leaving(&r.cfg, now),
		Ejected:      s.ejected,
		EjectedUntil: s.ejectedUntil,
	}
	if s.pressure.Limit > 0 {
		st.PressureAge = now.Sub(s.pressureAt)
	}
	return st
}

// ThrottleProbability returns the probability with which a call of that
// priority is refused here because the service refuses it.
func (r *Router) ThrottleProbability(p call.Priority, now time.Time) float64 {
	return r.throttle.probability(&r.cfg, p, now)
}
