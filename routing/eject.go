package routing

import (
	"math/rand/v2"
	"time"
)

// recordFailure records a failure and ejects the member if it fails too often.
// ejectable is false if the other members fail as often. A failed probe then ends
// the ejection, because all members share the cause.
func (s *memberState) recordFailure(cfg *Config, sig healthSignal, ejectable bool, rng *rand.Rand, now time.Time) {
	s.outcomes.add(cfg, 0, 1, now)
	s.consecutiveFailures++
	switch {
	case s.ejected && !ejectable:
		s.readmit(now)
	case s.ejected || ejectable && s.shouldEject(cfg, now):
		s.eject(cfg, rng, now)
		s.ejectedForErrors = sig == signalError
	}
}

// shouldEject reports whether the member fails often enough to be ejected.
func (s *memberState) shouldEject(cfg *Config, now time.Time) bool {
	if s.consecutiveFailures >= cfg.EjectAfter {
		return true
	}
	return s.outcomes.volume(cfg, now) >= cfg.EjectVolume && s.outcomes.rate(cfg, now) >= cfg.EjectRate
}

// eject stops calls to the member for a time that doubles with each failed probe.
func (s *memberState) eject(cfg *Config, rng *rand.Rand, now time.Time) {
	if s.ejected && now.Before(s.ejectedUntil) {
		return // the failed call was sent before the ejection
	}
	d := cfg.EjectBase << min(s.ejections, maxEjectDoublings)
	d = min(d, cfg.EjectMax)
	s.ejections++
	s.ejected = true
	s.failureRateAtEjection = s.outcomes.rate(cfg, now)
	s.triedSinceEjection = false
	s.ejectedUntil = now.Add(jitter(d, rng))
}

// probeDue reports whether an ejected member may get a probe. Each ejection allows
// one; a probe without a result is repeated after EjectMax.
func (s *memberState) probeDue(cfg *Config, now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	return s.lastProbeAt.Before(s.ejectedUntil) || now.Sub(s.lastProbeAt) >= cfg.EjectMax
}

// maxEjectDoublings keeps the ejection time from overflowing.
const maxEjectDoublings = 16

// readmit ends an ejection after a call shows that the member works, or that it fails
// no more than the others. It does nothing until a call has been sent since the
// ejection, because the result of an earlier call shows neither. Earlier failures are
// forgotten: the ramp limits the damage if the member fails again.
func (s *memberState) readmit(now time.Time) {
	if !s.ejected || !s.triedSinceEjection {
		return
	}
	s.endEjection()
	s.outcomes = decayingCounts{}
	s.rampStart = now
}

// endEjection puts an ejected member back into use without a ramp.
func (s *memberState) endEjection() {
	s.ejected = false
	s.consecutiveFailures = 0
}

// resetEjections forgets earlier ejections once the member has stayed in use for
// RampTime after it was readmitted.
func (s *memberState) resetEjections(cfg *Config, now time.Time) {
	if s.ejected || s.rampStart.IsZero() || now.Sub(s.rampStart) < cfg.RampTime {
		return
	}
	s.rampStart = time.Time{}
	s.ejections = 0
}
