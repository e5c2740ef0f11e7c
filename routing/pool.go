package routing

import (
	"slices"
	"time"
)

// pool sorts the members that may be chosen.
type pool struct {
	near, far   []*state // healthy
	nearEjected []*state
	farEjected  []*state
	nearSuspect []*state
	farSuspect  []*state
}

// pool sorts the members that the query does not rule out.
func (r *Router) pool(q Query, now time.Time) pool {
	var p pool
	for _, s := range r.live {
		if s.leaving(&r.cfg, now) || slices.Contains(q.Exclude, s.Node) {
			continue
		}
		s.settle(&r.cfg, now)
		p.add(s, s.near(&r.cfg))
	}
	return p
}

// add puts a member into its list.
func (p *pool) add(s *state, near bool) {
	list := &p.far
	switch {
	case s.ejected && near:
		list = &p.nearEjected
	case s.ejected:
		list = &p.farEjected
	case s.Suspect && near:
		list = &p.nearSuspect
	case s.Suspect:
		list = &p.farSuspect
	case near:
		list = &p.near
	}
	*list = append(*list, s)
}

// empty reports whether no member may be chosen.
func (p *pool) empty() bool {
	return len(p.near)+len(p.far)+len(p.nearEjected)+len(p.farEjected)+len(p.nearSuspect)+len(p.farSuspect) == 0
}

// filter returns the members that keep reports true for.
func filter(list []*state, keep func(*state) bool) []*state {
	var kept []*state
	for _, s := range list {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}
