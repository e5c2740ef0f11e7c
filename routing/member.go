package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Member is a backend server of the service, as the membership knows it.
type Member struct {
	Node    string // node id, unique to the VM's incarnation
	Addr    string // node-to-node address
	Region  string
	Domain  string    // failure domain
	Leaving bool      // shutting down, gets nothing new
	Suspect bool      // did not answer the membership's probes
	Started time.Time // zero if not known

	// Incarnation rises with each statement of the member about itself, such as
	// a new announcement after it was leaving.
	Incarnation uint64
}

// state is what the router knows of one member.
type state struct {
	Member
	firstSeen time.Time
	goneSince time.Time // zero while in the membership
	leftAt    time.Time // when the member itself said that it is leaving
	rampFrom  time.Time // zero if the member is warm

	inFlight int // own calls

	pressure         call.Pressure
	pressureAt       time.Time
	inFlightAtReport int

	service   time.Duration // smoothed latency of answers without the way
	serviceAt time.Time
	mean      *meanService // shared by all members

	outcomes    outcomes
	refusals    outcomes
	consecutive int // failures since the last success

	ejections    int // since the member last stayed well
	ejected      bool
	ejectedUntil time.Time
	probeSent    time.Time
	probed       bool    // sent a call since it was ejected
	erred        bool    // ejected for answers that report a failure
	ejectedRate  float64 // failure rate at the ejection
}

// leaving reports whether the member gets nothing new.
func (s *state) leaving(cfg *Config, now time.Time) bool {
	if s.Leaving {
		return true
	}
	return !s.leftAt.IsZero() && now.Sub(s.leftAt) < cfg.LeavingHold
}

// near reports whether the member is in the caller's region.
func (s *state) near(cfg *Config) bool {
	return s.Region == cfg.Region
}

// fresh reports whether the told pressure still decides.
func (s *state) fresh(cfg *Config, now time.Time) bool {
	return s.pressure.Limit > 0 && now.Sub(s.pressureAt) < cfg.PressureMaxAge
}

// admits reports whether the member is thought to admit the priority.
func (s *state) admits(cfg *Config, p call.Priority, now time.Time) bool {
	return !s.fresh(cfg, now) || p <= s.pressure.AdmitPriority
}

// finish records the end of an own attempt. ejectable says that a failure may
// eject the member.
func (s *state) finish(cfg *Config, res call.Result, ejectable bool, rng *rand.Rand, now time.Time) {
	s.inFlight = max(s.inFlight-1, 0)
	s.learnPressure(res.Pressure, now)
	if res.Reason == call.ReasonLeaving {
		s.leftAt = now
		return
	}
	switch v := judge(res); v {
	case verdictGood:
		s.succeed(cfg, res, now)
	case verdictError, verdictSilent:
		s.fail(cfg, v, ejectable, rng, now)
	case verdictNone:
		s.learnAbandoned(cfg, res, now)
	case verdictRefused:
		s.refusals.add(cfg, 0, 1, now)
		s.readmit(now)
	}
}

// learnPressure keeps what an answer told of the member's load.
func (s *state) learnPressure(p call.Pressure, now time.Time) {
	if p.Limit <= 0 {
		return
	}
	s.pressure = p
	s.pressureAt = now
	s.inFlightAtReport = s.inFlight
}

// succeed records an answer.
func (s *state) succeed(cfg *Config, res call.Result, now time.Time) {
	s.outcomes.add(cfg, 1, 0, now)
	s.refusals.add(cfg, 1, 0, now)
	s.consecutive = 0
	s.learnService(cfg, res.Latency, now)
	s.readmit(now)
}

// learnService takes in the latency of one call.
func (s *state) learnService(cfg *Config, latency time.Duration, now time.Time) {
	d := max(latency-s.distance(cfg), 0)
	s.service = smooth(s.service, d, serviceSmoothing)
	s.mean.add(d)
	s.serviceAt = now
}

// learnAbandoned takes in a call that nobody waited for, if that makes the
// member look slower.
func (s *state) learnAbandoned(cfg *Config, res call.Result, now time.Time) {
	if res.Reason == call.ReasonCanceled && res.Latency-s.distance(cfg) > s.service {
		s.learnService(cfg, res.Latency, now)
	}
}
