package routing

import (
	"slices"
	"time"
)

// candidatePool holds the members that may be selected, by region and health.
type candidatePool struct {
	inRegion, remote []*memberState // healthy
	inRegionEjected  []*memberState
	remoteEjected    []*memberState
	inRegionSuspect  []*memberState
	remoteSuspect    []*memberState
}

// candidates returns the members that are not leaving or excluded by the query.
func (r *Router) candidates(q Query, now time.Time) candidatePool {
	var p candidatePool
	for _, s := range r.current {
		if s.leaving(&r.cfg, now) || slices.Contains(q.Exclude, s.Node) {
			continue
		}
		s.resetEjections(&r.cfg, now)
		p.add(s, s.inRegion(&r.cfg))
	}
	return p
}

// add appends a member to the list for its region and health.
func (p *candidatePool) add(s *memberState, inRegion bool) {
	list := &p.remote
	switch {
	case s.ejected && inRegion:
		list = &p.inRegionEjected
	case s.ejected:
		list = &p.remoteEjected
	case s.Suspect && inRegion:
		list = &p.inRegionSuspect
	case s.Suspect:
		list = &p.remoteSuspect
	case inRegion:
		list = &p.inRegion
	}
	*list = append(*list, s)
}

// empty reports whether there are no candidates.
func (p *candidatePool) empty() bool {
	return len(p.inRegion)+len(p.remote)+len(p.inRegionEjected)+len(p.remoteEjected)+len(p.inRegionSuspect)+len(p.remoteSuspect) == 0
}

// filter returns the members for which keep returns true.
func filter(list []*memberState, keep func(*memberState) bool) []*memberState {
	var kept []*memberState
	for _, s := range list {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}
