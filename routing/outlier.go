package routing

import (
	"slices"
	"time"
)

// isOutlier reports whether the failure rate of the member exceeds that of the other
// members by OutlierMargin. If all members fail alike, the cause is in the requests
// or in a dependency that the members share.
func (r *Router) isOutlier(s *memberState, now time.Time) bool {
	rate, ok := r.othersFailureRate(s, now)
	return ok && s.outcomes.rate(&r.cfg, now) > rate+r.cfg.OutlierMargin
}

// othersFailureRate returns the mean failure rate of the other members in use that
// are in the region of s or have at least EjectVolume recent results. While the other
// regions are unexplored, a rate of zero is added to the mean, so that s can be ejected
// and calls reach those regions. If that leaves nothing to average, the ejected members
// with at least EjectVolume recent results are used. It returns false if there are none
// of them either.
func (r *Router) othersFailureRate(s *memberState, now time.Time) (float64, bool) {
	var inUse, ejected mean
	for _, o := range r.current {
		hasVolume := o.outcomes.volume(&r.cfg, now) >= r.cfg.EjectVolume
		switch {
		case o == s:
		case hasVolume && o.ejected:
			ejected.add(o.outcomes.rate(&r.cfg, now))
		case hasVolume || !o.ejected && o.Region == s.Region:
			inUse.add(o.outcomes.rate(&r.cfg, now))
		}
	}
	if r.otherRegionsUnexplored(s.Region, now) {
		inUse.add(0)
	}
	if inUse.count == 0 {
		inUse = ejected
	}
	return inUse.value(), inUse.count > 0
}

// otherRegionsUnexplored reports whether members outside the region can be used and have
// not had enough calls within ExploreInterval to tell their failure rate.
func (r *Router) otherRegionsUnexplored(region string, now time.Time) bool {
	elsewhere := filter(r.current, func(o *memberState) bool { return o.Region != region })
	if _, ok := r.pooledFailureRate(elsewhere, now); ok {
		r.lastExplored = now
	}
	return now.Sub(r.lastExplored) >= r.cfg.ExploreInterval && slices.ContainsFunc(elsewhere, func(o *memberState) bool { return !o.ejected })
}

// pooledFailureRate returns the combined failure rate of the members. It returns false
// if they have fewer than EjectVolume recent results.
func (r *Router) pooledFailureRate(list []*memberState, now time.Time) (float64, bool) {
	var failures, volume float64
	for _, s := range list {
		v := s.outcomes.volume(&r.cfg, now)
		volume += v
		failures += s.outcomes.rate(&r.cfg, now) * (v + priorSuccesses)
	}
	return failures / (volume + priorSuccesses), volume >= r.cfg.EjectVolume
}

// mean accumulates an arithmetic mean.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(x float64) {
	m.sum += x
	m.count++
}

// value returns the mean, or 0 if nothing was added.
func (m *mean) value() float64 { return m.sum / float64(max(m.count, 1)) }

// endSharedCauseEjections ends ejections for error answers in the caller's region if
// the members of other regions fail about as often: all members then share the cause,
// and sending calls to other regions does not help.
func (r *Router) endSharedCauseEjections(p *candidatePool, now time.Time) {
	rate, ok := r.pooledFailureRate(slices.Concat(p.remote, p.remoteEjected), now)
	if !ok {
		return
	}
	for _, s := range p.inRegionEjected {
		if s.ejectedForErrors && s.failureRateAtEjection <= rate+r.cfg.OutlierMargin {
			s.endEjection()
			r.ejectionChanges = append(r.ejectionChanges, EjectionChange{Node: s.Node, FailureRate: rate, OthersFailAlike: true})
			p.inRegion = append(p.inRegion, s)
		}
	}
	p.inRegionEjected = filter(p.inRegionEjected, func(s *memberState) bool { return s.ejected })
}
