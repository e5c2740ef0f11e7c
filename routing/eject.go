package routing

import (
	"math/rand/v2"
	"time"
)

// fail records a failure. It ejects the member if that fails too often, so far
// as ejectable says that the failures are its own. A probe that fails as the
// members in use do ends the ejection: the cause lies behind all of them.
func (s *state) fail(cfg *Config, v verdict, ejectable bool, rng *rand.Rand, now time.Time) {
	s.outcomes.add(cfg, 0, 1, now)
	s.consecutive++
	switch {
	case s.ejected && !ejectable:
		s.readmit(now)
	case s.ejected || ejectable && s.failing(cfg, now):
		s.eject(cfg, rng, now)
		s.erred = v == verdictError
	}
}

// failing reports whether the member is to be ejected.
func (s *state) failing(cfg *Config, now time.Time) bool {
	if s.consecutive >= cfg.EjectAfter {
		return true
	}
	return s.outcomes.volume(cfg, now) >= cfg.EjectVolume && s.outcomes.rate(cfg, now) >= cfg.EjectRate
}

// eject keeps calls away for a time that doubles with each failed probe.
func (s *state) eject(cfg *Config, rng *rand.Rand, now time.Time) {
	if s.ejected && now.Before(s.ejectedUntil) {
		return // the end of a call that was sent before the ejection
	}
	d := cfg.EjectBase << min(s.ejections, maxEjectDoublings)
	d = min(d, cfg.EjectMax)
	s.ejections++
	s.ejected = true
	s.ejectedRate = s.outcomes.rate(cfg, now)
	s.probed = false
	s.ejectedUntil = now.Add(spread(d, rng))
}

// probeDue reports whether an ejected member may get the single probe of this
// ejection. A probe without a result is repeated after EjectMax.
func (s *state) probeDue(cfg *Config, now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return false
	}
	return s.probeSent.Before(s.ejectedUntil) || now.Sub(s.probeSent) >= cfg.EjectMax
}

// maxEjectDoublings keeps the time of ejection from overflowing.
const maxEjectDoublings = 16

// readmit ends an ejection after proof that the member works. The end of a call
// that was sent before the ejection is no proof. Earlier failures are forgotten,
// because the ramp bounds what a member that fails again can harm.
func (s *state) readmit(now time.Time) {
	if !s.ejected || !s.probed {
		return
	}
	s.restore()
	s.outcomes = outcomes{}
	s.rampFrom = now
}

// restore puts an ejected member to use again.
func (s *state) restore() {
	s.ejected = false
	s.consecutive = 0
}

// settle forgets earlier ejections once the member has stayed well for a ramp.
func (s *state) settle(cfg *Config, now time.Time) {
	if s.ejected || s.rampFrom.IsZero() || now.Sub(s.rampFrom) < cfg.RampTime {
		return
	}
	s.rampFrom = time.Time{}
	s.ejections = 0
}
