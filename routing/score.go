package routing

import (
	"time"
)

// loadPenalty scales the penalty that the score adds for load: a fully used member
// counts five times as slow as an idle one. With 4, the caller's failure domain is
// preferred until it is about half used.
const loadPenalty = 4

// score returns the expected response time, in seconds, of a call sent to the member
// now. It includes penalties for load, failures and refusals. Lower is better.
func (s *memberState) score(cfg *Config, now time.Time) float64 {
	if s.paced() {
		return s.pacedScore(cfg, now)
	}
	u := s.utilization(cfg, now)
	unqueued := s.roundTrip(cfg).Seconds() + s.serviceTime(cfg, now)
	return s.scoreWithoutLoad(cfg, now) + loadPenalty*u*u*unqueued
}

// scoreWithoutLoad returns the score without the penalty for load, which the reported
// queue delay may not show yet.
func (s *memberState) scoreWithoutLoad(cfg *Config, now time.Time) float64 {
	unqueued := s.roundTrip(cfg).Seconds() + s.serviceTime(cfg, now)
	return unqueued + s.queueDelay(cfg, now).Seconds() + s.badRate(cfg, now)*cfg.FailureCost.Seconds()
}

// roundTrip returns the configured round-trip time to the member.
func (s *memberState) roundTrip(cfg *Config) time.Duration {
	if !s.inRegion(cfg) {
		return cfg.RemoteDelay
	}
	if s.Domain != cfg.Domain {
		return cfg.RegionDelay
	}
	return cfg.DomainDelay
}

// serviceTime returns the typical execution time in seconds: the longer of the
// reported and the observed one. With age, both decay to the mean of all members, so
// that a member that was slow is tried again.
func (s *memberState) serviceTime(cfg *Config, now time.Time) float64 {
	if s.paced() {
		return s.pacedServiceTime(cfg, now)
	}
	reported := s.decayTowardsMean(cfg, s.pressure.ServiceTime, now.Sub(s.pressureAt))
	observed := s.decayTowardsMean(cfg, s.serviceEstimate, now.Sub(s.serviceEstimateAt))
	if reported == 0 && observed == 0 {
		return s.meanService.seconds(cfg)
	}
	return max(reported, observed)
}

// decayTowardsMean moves the service time d towards the mean according to its age and
// returns it in seconds, or 0 if d is 0.
func (s *memberState) decayTowardsMean(cfg *Config, d, age time.Duration) float64 {
	if d == 0 {
		return 0
	}
	meanSeconds := s.meanService.seconds(cfg)
	return meanSeconds + (d.Seconds()-meanSeconds)*decay(age, cfg.OutcomeHalfLife)
}

// meanServiceTime is the smoothed service time of all members.
type meanServiceTime struct {
	value time.Duration // 0 before the first answer
}

// meanServiceSmoothing is the weight of one answer in the mean.
const meanServiceSmoothing = 0.05

// add updates the mean with the service time of one answer.
func (m *meanServiceTime) add(d time.Duration) {
	m.value = smooth(m.value, d, meanServiceSmoothing)
}

// seconds returns the mean in seconds, or DefaultServiceTime before the first answer.
func (m *meanServiceTime) seconds(cfg *Config) float64 {
	if m.value == 0 {
		return cfg.DefaultServiceTime.Seconds()
	}
	return m.value.Seconds()
}

// limit returns the concurrency limit that the member reported, or DefaultLimit. A
// smaller limit that was reported longer than LimitMaxAge ago counts as DefaultLimit: a
// member raises the limit that it has learned only while it gets calls.
func (s *memberState) limit(cfg *Config, now time.Time) float64 {
	assumed := max(cfg.DefaultLimit, 1)
	switch {
	case s.pressure.Limit <= 0:
		return float64(assumed)
	case now.Sub(s.pressureAt) > cfg.LimitMaxAge:
		return float64(max(s.pressure.Limit, assumed))
	}
	return float64(s.pressure.Limit)
}

// load returns the estimated number of calls at the member: the router's own calls,
// and those of other callers according to the last report, which decay with age.
func (s *memberState) load(cfg *Config, now time.Time) float64 {
	own := float64(s.inFlight)
	if s.pressure.Limit <= 0 {
		return own
	}
	reported := float64(s.pressure.InFlight + s.pressure.Queued)
	others := max(reported-float64(s.inFlightAtPressure), 0)
	return own + others*decay(now.Sub(s.pressureAt), cfg.PressureHalfLife)
}

// utilization returns the load, including the call to be sent, as a fraction of the
// limit.
func (s *memberState) utilization(cfg *Config, now time.Time) float64 {
	if s.paced() {
		return (s.pacedLoad(cfg, now) + 1) / s.limit(cfg, now)
	}
	return (s.load(cfg, now) + 1) / s.limit(cfg, now)
}

// queueDelay returns the queue delay that the member reported, decayed by age. The time
// until a member under a rate limit may start another call passes as announced.
func (s *memberState) queueDelay(cfg *Config, now time.Time) time.Duration {
	if s.rateLimited() {
		return max(min(s.pressure.QueueDelay, cfg.RateWaitMax)-now.Sub(s.pressureAt), 0)
	}
	retained := decay(now.Sub(s.pressureAt), cfg.PressureHalfLife)
	return time.Duration(float64(s.pressure.QueueDelay) * retained)
}

// badRate returns the fraction of recent calls that were refused or that failed. The
// failures are those seen here or reported by the member, whichever are more.
func (s *memberState) badRate(cfg *Config, now time.Time) float64 {
	failed := max(s.outcomes.rate(cfg, now), s.pressure.Lost*decay(now.Sub(s.pressureAt), cfg.LostHalfLife))
	refused := s.refusals.rate(cfg, now)
	return failed + (1-failed)*refused
}

// saturated reports whether the member has no capacity for another call. During its
// ramp a member has only a fraction of its capacity, but at least one call.
func (s *memberState) saturated(cfg *Config, now time.Time) bool {
	if s.paced() && s.pacedLoad(cfg, now) >= s.capacity(cfg, now) {
		return true
	}
	return s.certainlySaturated(cfg, now)
}

// certainlySaturated is saturated without calls that are only assumed to be at the
// member.
func (s *memberState) certainlySaturated(cfg *Config, now time.Time) bool {
	if s.rateLimited() && s.queueDelay(cfg, now) > 0 {
		return true
	}
	return s.load(cfg, now) >= s.capacity(cfg, now)
}

// capacity returns the number of calls from which the member counts as saturated.
func (s *memberState) capacity(cfg *Config, now time.Time) float64 {
	return max(s.limit(cfg, now)*cfg.SaturatedLoad*s.ramp(cfg, now), 1)
}

// ramp returns the fraction of its full share of calls that a new or readmitted
// member gets, from RampFloor to 1.
func (s *memberState) ramp(cfg *Config, now time.Time) float64 {
	age := s.age(now)
	if !s.rampStart.IsZero() {
		age = min(age, now.Sub(s.rampStart))
	}
	if age >= cfg.RampTime {
		return 1
	}
	fraction := max(age.Seconds(), 0) / cfg.RampTime.Seconds()
	return max(fraction, cfg.RampFloor)
}

// age returns how long the member has run. Its start time comes from another clock, so
// the time since the router first saw it is used if that is longer.
func (s *memberState) age(now time.Time) time.Duration {
	observed := now.Sub(s.firstSeen)
	if s.Started.IsZero() {
		return assumedAge
	}
	return max(observed, now.Sub(s.Started))
}

// assumedAge is the age of a member whose start time is unknown, which counts as warm.
const assumedAge = 24 * time.Hour

// weight returns the weight of the member in the random draw of candidates.
func (s *memberState) weight(cfg *Config, now time.Time) float64 {
	slots := s.limit(cfg, now)
	if s.paced() {
		slots = s.pacedWeight(cfg, now)
	}
	return slots * s.ramp(cfg, now) * (1 - s.badRate(cfg, now))
}
