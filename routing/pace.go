package routing

import (
	"time"
)

// pacedLoadPenalty is loadPenalty for members that report their pace. Their score shows
// slow execution and waits by itself, so that load counts less.
const pacedLoadPenalty = 2

// observedMargin is the multiple of its expected service time that a member must be
// observed to take before the observation counts instead. The cause is then not known to
// the member, such as a slow link to it. Waits at the member stay below it.
const observedMargin = 3

// paced reports whether the backend server of the member reports its pace. Other members
// are scored without regard to it.
func (s *memberState) paced() bool { return s.pressure.Pace > 0 }

// pace returns the expected pace of the member, 0 if unknown: the reported one, which
// moves towards 1 with its age, since slow spells are short.
func (s *memberState) pace(cfg *Config, now time.Time) float64 {
	if !s.paced() {
		return 0
	}
	return 1 + (s.pressure.Pace-1)*decay(now.Sub(s.pressureAt), cfg.PaceHalfLife)
}

// usualServiceTime returns the execution time at the member, in seconds, at a pace of 1.
// A member reports it as its service time if it knows the pace.
func (s *memberState) usualServiceTime(cfg *Config, now time.Time) float64 {
	mean := s.meanService.seconds(cfg)
	if s.pressure.ServiceTime == 0 {
		return mean
	}
	return mean + (s.pressure.ServiceTime.Seconds()-mean)*decay(now.Sub(s.pressureAt), cfg.SpeedHalfLife)
}

// pacedServiceTime returns the expected execution time, in seconds, at the expected pace.
func (s *memberState) pacedServiceTime(cfg *Config, now time.Time) float64 {
	expected := s.usualServiceTime(cfg, now) * s.pace(cfg, now)
	observed := s.decayTowardsMean(cfg, s.serviceEstimate, now.Sub(s.serviceEstimateAt))
	if observed > observedMargin*expected {
		return observed
	}
	return expected
}

// pacedScore returns the score of a member that reports its pace: the expected time to
// the answer, with the wait of a call that finds the limit reached.
func (s *memberState) pacedScore(cfg *Config, now time.Time) float64 {
	service := s.serviceTime(cfg, now)
	limit := s.limit(cfg, now)
	load := s.pacedLoad(cfg, now) + 1
	u := load / limit
	wait := max(load-limit, 0) / limit * service
	return s.scoreWithoutLoad(cfg, now) + pacedLoadPenalty*u*u*(s.roundTrip(cfg).Seconds()+service) + wait
}

// pacedLoad returns the estimated number of calls at a member that reports its pace.
// The reported calls of other callers move, with their age, towards the usual number in
// the region. If they moved towards 0, the member that was not heard of for longest would
// look idle, and each caller would send to it until it reports.
func (s *memberState) pacedLoad(cfg *Config, now time.Time) float64 {
	others := max(float64(s.pressure.InFlight+s.pressure.Queued-s.inFlightAtPressure), 0)
	usual := s.regionLoad.utilization(cfg, now) * s.limit(cfg, now)
	return float64(s.inFlight) + usual + (others-usual)*decay(now.Sub(s.pressureAt), cfg.LoadHalfLife)
}

// pacedWeight returns the capacity of a member that reports its pace: its slots, counted
// at the mean speed.
func (s *memberState) pacedWeight(cfg *Config, now time.Time) float64 {
	return s.limit(cfg, now) * s.meanService.seconds(cfg) / s.usualServiceTime(cfg, now)
}

// localCost returns the multiple of the best score up to which the member is preferred
// as one of the caller's failure domain.
func (s *memberState) localCost(cfg *Config) float64 {
	if s.paced() {
		return cfg.PacedLocalCost
	}
	return cfg.LocalCost
}

// regionLoad is the smoothed load of the members of one region that report their pace.
type regionLoad struct {
	fraction float64 // of the limit that calls of other callers take
	at       time.Time
}

// regionLoadSmoothing is the weight of one answer in the load of a region.
const regionLoadSmoothing = 0.05

// add updates the load of the region with that of one member.
func (l *regionLoad) add(cfg *Config, fraction float64, now time.Time) {
	l.fraction = l.utilization(cfg, now)
	l.fraction += regionLoadSmoothing * (fraction - l.fraction)
	l.at = now
}

// utilization returns the load, which is forgotten with its age, so that a region that
// got no calls for some time counts as idle.
func (l *regionLoad) utilization(cfg *Config, now time.Time) float64 {
	return l.fraction * decay(now.Sub(l.at), cfg.RegionLoadHalfLife)
}
