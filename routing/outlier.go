package routing

import (
	"slices"
	"time"
)

// outlier reports whether the member fails clearly more often than the others.
// If all fail alike, the cause is in the requests or behind the members.
func (r *Router) outlier(s *state, now time.Time) bool {
	rate, ok := r.others(s, now)
	return ok && s.outcomes.rate(&r.cfg, now) > rate+r.cfg.OutlierMargin
}

// others returns the mean failure rate of the other members that are in use. While
// no other region has been tried lately, a member that never fails counts in for it,
// so that it is; members that are ejected count where nothing is known of the rest.
// It is false if s is the only member.
func (r *Router) others(s *state, now time.Time) (float64, bool) {
	var inUse, ejected mean
	for _, o := range r.live {
		known := o.outcomes.volume(&r.cfg, now) >= r.cfg.EjectVolume
		switch {
		case o == s:
		case known && o.ejected:
			ejected.add(o.outcomes.rate(&r.cfg, now))
		case known || !o.ejected && o.Region == s.Region:
			inUse.add(o.outcomes.rate(&r.cfg, now))
		}
	}
	if r.unexplored(s.Region, now) {
		inUse.add(0)
	}
	if inUse.n == 0 {
		inUse = ejected
	}
	return inUse.value(), inUse.n > 0
}

// unexplored reports whether there are members to use outside a region, and none of
// them has been tried lately.
func (r *Router) unexplored(region string, now time.Time) bool {
	beyond := filter(r.live, func(o *state) bool { return o.Region != region })
	if _, ok := r.pooled(beyond, now); ok {
		r.explored = now
	}
	return now.Sub(r.explored) >= r.cfg.ExploreInterval && slices.ContainsFunc(beyond, func(o *state) bool { return !o.ejected })
}

// pooled returns the failure rate of members together, false if too few recent
// results are known.
func (r *Router) pooled(list []*state, now time.Time) (float64, bool) {
	var bad, volume float64
	for _, s := range list {
		v := s.outcomes.volume(&r.cfg, now)
		volume += v
		bad += s.outcomes.rate(&r.cfg, now) * (v + priorResults)
	}
	return bad / (volume + priorResults), volume >= r.cfg.EjectVolume
}

// mean adds up numbers.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.n++
}

// value returns the mean, 0 of nothing.
func (m *mean) value() float64 { return m.sum / float64(max(m.n, 1)) }

// restore ends the ejections of members of the own region that members of other
// regions turn out to fail like: the cause lies behind all of them, and calls to
// other regions help nobody.
func (r *Router) restore(p *pool, now time.Time) {
	rate, ok := r.pooled(slices.Concat(p.far, p.farEjected), now)
	if !ok {
		return
	}
	for _, s := range p.nearEjected {
		if s.erred && s.ejectedRate <= rate+r.cfg.OutlierMargin {
			s.restore()
			r.changes = append(r.changes, EjectionChange{Node: s.Node, FailureRate: rate, OthersFailAlike: true})
			p.near = append(p.near, s)
		}
	}
	p.nearEjected = filter(p.nearEjected, func(s *state) bool { return s.ejected })
}
