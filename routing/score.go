package routing

import (
	"time"
)

// loadWeight is how much slower a fully used member counts than an idle one.
// The own failure domain is preferred until it is about half used.
const loadWeight = 4

// score returns the expected time until a call sent to the member now is
// served, in seconds, with failures and refusals counted as lost time. Lower is
// better.
func (s *state) score(cfg *Config, now time.Time) float64 {
	u := s.utilization(cfg, now)
	busy := s.distance(cfg).Seconds() + s.serviceTime(cfg, now)
	return s.delay(cfg, now) + loadWeight*u*u*busy
}

// delay is the score without regard to the load that is not yet felt.
func (s *state) delay(cfg *Config, now time.Time) float64 {
	busy := s.distance(cfg).Seconds() + s.serviceTime(cfg, now)
	return busy + s.queueDelay(cfg, now).Seconds() + s.badRate(cfg, now)*cfg.FailureCost.Seconds()
}

// distance returns the round trip to the member.
func (s *state) distance(cfg *Config) time.Duration {
	if !s.near(cfg) {
		return cfg.RemoteDelay
	}
	if s.Domain != cfg.Domain {
		return cfg.RegionDelay
	}
	return cfg.DomainDelay
}

// serviceTime returns the typical execution time in seconds: the longer of what
// was told and what was seen. Both go back to the mean of all members with age,
// so that a member that was slow is tried again.
func (s *state) serviceTime(cfg *Config, now time.Time) float64 {
	told := s.aged(cfg, s.pressure.ServiceTime, now.Sub(s.pressureAt))
	seen := s.aged(cfg, s.service, now.Sub(s.serviceAt))
	if told == 0 && seen == 0 {
		return s.mean.seconds(cfg)
	}
	return max(told, seen)
}

// aged returns a service time in seconds moved towards the mean by its age, or
// 0 if d is 0.
func (s *state) aged(cfg *Config, d, age time.Duration) float64 {
	if d == 0 {
		return 0
	}
	base := s.mean.seconds(cfg)
	return base + (d.Seconds()-base)*decay(age, cfg.OutcomeHalfLife)
}

// meanService is the smoothed service time of all members of the service.
type meanService struct {
	service time.Duration // 0 if there was no answer
}

// meanSmoothing is the weight of one answer in the mean.
const meanSmoothing = 0.05

// add takes in the service time of one answer.
func (m *meanService) add(d time.Duration) {
	m.service = smooth(m.service, d, meanSmoothing)
}

// seconds returns the mean, or the default before the first answer.
func (m *meanService) seconds(cfg *Config) float64 {
	if m.service == 0 {
		return cfg.DefaultService.Seconds()
	}
	return m.service.Seconds()
}

// limit returns the member's concurrency limit.
func (s *state) limit(cfg *Config) float64 {
	if s.pressure.Limit > 0 {
		return float64(s.pressure.Limit)
	}
	return float64(max(cfg.DefaultLimit, 1))
}

// load returns the estimated number of calls at the member: what it told, which
// counts less with age, and the change in own calls since.
func (s *state) load(cfg *Config, now time.Time) float64 {
	own := float64(s.inFlight)
	if s.pressure.Limit <= 0 {
		return own
	}
	told := float64(s.pressure.InFlight + s.pressure.Queued)
	others := max(told-float64(s.inFlightAtReport), 0)
	return own + others*decay(now.Sub(s.pressureAt), cfg.PressureHalfLife)
}

// utilization returns the load, with the call to be placed, as a part of the
// limit.
func (s *state) utilization(cfg *Config, now time.Time) float64 {
	return (s.load(cfg, now) + 1) / s.limit(cfg)
}

// queueDelay returns the told wait, which counts less with age.
func (s *state) queueDelay(cfg *Config, now time.Time) time.Duration {
	k := decay(now.Sub(s.pressureAt), cfg.PressureHalfLife)
	return time.Duration(float64(s.pressure.QueueDelay) * k)
}

// badRate returns the part of recent calls that failed, as seen here or as told by
// the member, or were refused.
func (s *state) badRate(cfg *Config, now time.Time) float64 {
	failed := max(s.outcomes.rate(cfg, now), s.pressure.Lost*decay(now.Sub(s.pressureAt), cfg.LostHalfLife))
	refused := s.refusals.rate(cfg, now)
	return failed + (1-failed)*refused
}

// saturated reports whether the member has no room for another call. A member
// that ramps up has room for a part of its limit only.
func (s *state) saturated(cfg *Config, now time.Time) bool {
	room := s.limit(cfg) * cfg.SaturatedLoad * s.ramp(cfg, now)
	return s.load(cfg, now) >= max(room, 1)
}

// ramp returns the part of its full load that a new or readmitted member gets,
// from RampFloor to 1.
func (s *state) ramp(cfg *Config, now time.Time) float64 {
	age := s.age(now)
	if !s.rampFrom.IsZero() {
		age = min(age, now.Sub(s.rampFrom))
	}
	if age >= cfg.RampTime {
		return 1
	}
	part := max(age.Seconds(), 0) / cfg.RampTime.Seconds()
	return max(part, cfg.RampFloor)
}

// age returns how long the member has run. The start is told by another clock,
// so the time since it was first seen here counts if it is longer.
func (s *state) age(now time.Time) time.Duration {
	seen := now.Sub(s.firstSeen)
	if s.Started.IsZero() {
		return unknownAge
	}
	return max(seen, now.Sub(s.Started))
}

// unknownAge is the age of a member that did not tell its start.
const unknownAge = 24 * time.Hour

// weight is the member's part in the random choice of candidates.
func (s *state) weight(cfg *Config, now time.Time) float64 {
	return s.limit(cfg) * s.ramp(cfg, now) * (1 - s.badRate(cfg, now))
}
