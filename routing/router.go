package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Router selects members of one service for calls from one caller's node.
type Router struct {
	cfg             Config
	rng             *rand.Rand
	members         map[string]*memberState
	current         []*memberState // listed in the membership, sorted by node id
	throttle        throttle
	budget          spillBudget
	meanService     meanServiceTime
	regionLoads     map[string]*regionLoad
	lastExplored    time.Time        // when enough recent calls to another region were last seen
	ejectionChanges []EjectionChange // not returned by TakeChanges yet
}

// New returns a Router without members.
func New(cfg Config, rng *rand.Rand) *Router {
	return &Router{
		cfg:         cfg,
		rng:         rng,
		members:     map[string]*memberState{},
		regionLoads: map[string]*regionLoad{},
		budget:      newSpillBudget(&cfg),
	}
}

// Update replaces the membership. The state of a member is kept, and also outlasts
// its removal by ForgetAfter.
func (r *Router) Update(members []Member, now time.Time) {
	for _, s := range r.current {
		s.goneSince = now
	}
	r.current = r.current[:0]
	for _, m := range members {
		r.upsert(m, now)
	}
	slices.SortFunc(r.current, func(a, b *memberState) int { return strings.Compare(a.Node, b.Node) })
	r.removeExpired(now)
}

// upsert adds or updates the member of one membership entry.
func (r *Router) upsert(m Member, now time.Time) {
	s := r.members[m.Node]
	if s == nil {
		s = &memberState{firstSeen: now, meanService: &r.meanService}
		r.members[m.Node] = s
		s.goneSince = now
	}
	if m.Incarnation > s.Incarnation && !s.leavingSince.IsZero() {
		// The node announced a new backend server, which is cold, after the last one left.
		s.leavingSince = time.Time{}
		s.firstSeen = now
	}
	s.Member = m
	if s.regionLoad = r.regionLoads[m.Region]; s.regionLoad == nil {
		s.regionLoad = &regionLoad{}
		r.regionLoads[m.Region] = s.regionLoad
	}
	if s.goneSince.IsZero() {
		return // listed twice
	}
	s.goneSince = time.Time{}
	r.current = append(r.current, s)
}

// removeExpired removes members that left the membership more than ForgetAfter ago
// and have no call in flight.
func (r *Router) removeExpired(now time.Time) {
	for node, s := range r.members {
		expired := !s.goneSince.IsZero() && now.Sub(s.goneSince) > r.cfg.ForgetAfter
		if expired && s.inFlight == 0 {
			delete(r.members, node)
		}
	}
}

// Start records that an attempt was sent to the node.
func (r *Router) Start(node string, now time.Time) {
	if s := r.members[node]; s != nil {
		s.inFlight++
	}
}

// Finish records the result of an attempt at the node. Each Start must be followed by
// one Finish, and each Finish accompanied by one Record.
func (r *Router) Finish(node string, res call.Result, now time.Time) {
	s := r.members[node]
	if s == nil {
		return
	}
	ejectable := classify(res) != signalError || r.isOutlier(s, now)
	wasEjected := s.ejected
	s.finish(&r.cfg, res, ejectable, r.rng, now)
	switch {
	case s.ejected && !wasEjected:
		r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Node: node, Ejected: true, FailureRate: s.failureRateAtEjection, Until: s.ejectedUntil})
	case wasEjected && !s.ejected && classify(res) == signalError:
		r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Node: node, FailureRate: s.failureRateAtEjection, OthersFailAlike: true})
	case wasEjected && !s.ejected:
		r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Node: node})
	}
}

// EjectionChange reports that a member was ejected or readmitted.
type EjectionChange struct {
	Node            string
	Ejected         bool
	FailureRate     float64   // of recent calls
	Until           time.Time // when the first probe is due
	OthersFailAlike bool      // readmitted because the other members fail alike
}

// TakeChanges returns the ejection changes since the last call of TakeChanges, for the
// log.
func (r *Router) TakeChanges() []EjectionChange {
	changes := r.ejectionChanges
	r.ejectionChanges = nil
	return changes
}

// Record passes the result of an attempt to the throttle, which counts an attempt as
// accepted until its refusal is recorded.
func (r *Router) Record(p call.Priority, res call.Result, now time.Time) {
	r.throttle.recordFinished(&r.cfg, p, res, now)
}

// MemberStatus is the state of one member as seen by the Router.
type MemberStatus struct {
	Member
	InFlight     int     // calls of this router
	Load         float64 // estimated calls at the member
	Limit        float64 // concurrency limit
	Score        float64 // expected response time in seconds, lower is better
	Ramp         float64 // fraction of its full share that a new or readmitted member gets
	FailureRate  float64
	RefusalRate  float64
	Leaving      bool      // according to the membership or to a refusal of the member
	Ejected      bool      // receives only probes
	EjectedUntil time.Time // when the next probe is due
	PressureAge  time.Duration
}

// Snapshot returns the status of each listed member, sorted by node id.
func (r *Router) Snapshot(now time.Time) []MemberStatus {
	all := make([]MemberStatus, 0, len(r.current))
	for _, s := range r.current {
		all = append(all, r.status(s, now))
	}
	return all
}

// status returns the status of one member.
func (r *Router) status(s *memberState, now time.Time) MemberStatus {
	st := MemberStatus{
		Member:       s.Member,
		InFlight:     s.inFlight,
		Load:         s.load(&r.cfg, now),
		Limit:        s.limit(&r.cfg, now),
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

// ThrottleProbability returns the probability that the router refuses a call of the
// priority because the service refuses such calls.
func (r *Router) ThrottleProbability(p call.Priority, now time.Time) float64 {
	return r.throttle.probability(&r.cfg, p, now)
}
