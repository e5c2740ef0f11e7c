package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Member is a backend server of the service as listed in the membership.
type Member struct {
	Node    string // node id, new with each process start
	Addr    string // node-to-node address
	Region  string
	Domain  string    // failure domain
	Leaving bool      // shutting down; receives no new calls
	Suspect bool      // its entry in the membership has lapsed; it may still answer
	Started time.Time // zero if unknown

	// Incarnation increases each time the member announces itself, for example when
	// a new backend server starts after the previous one left.
	Incarnation uint64
}

// memberState is what the router knows about one member.
type memberState struct {
	Member
	firstSeen    time.Time
	goneSince    time.Time // zero while listed in the membership
	leavingSince time.Time // when the member last refused a call because it is leaving; zero if never
	rampStart    time.Time // when the member was readmitted; zero once that ramp is over

	inFlight int // calls of this router

	pressure           call.Pressure
	pressureAt         time.Time
	inFlightAtPressure int

	serviceEstimate   time.Duration // smoothed latency of answers minus the round trip
	serviceEstimateAt time.Time
	meanService       *meanServiceTime // shared by all members
	regionLoad        *regionLoad      // shared by the members of the region

	outcomes            decayingCounts // successes as good, failures as bad
	refusals            decayingCounts // successes as good, refusals as bad
	consecutiveFailures int            // since the last success

	ejections             int // since the member last completed a ramp without an ejection
	ejected               bool
	ejectedUntil          time.Time
	lastProbeAt           time.Time
	triedSinceEjection    bool    // a call was sent to it since the ejection
	ejectedForErrors      bool    // ejected because of error answers, not missing ones
	failureRateAtEjection float64 // at the last ejection
}

// leaving reports whether the member is shutting down and must get no new calls.
func (s *memberState) leaving(cfg *Config, now time.Time) bool {
	if s.Leaving {
		return true
	}
	return !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < cfg.LeavingHold
}

// inRegion reports whether the member is in the caller's region.
func (s *memberState) inRegion(cfg *Config) bool {
	return s.Region == cfg.Region
}

// rateLimited reports whether the backend server of the member announced a rate limit.
func (s *memberState) rateLimited() bool { return s.pressure.Announced.RateLimit.Stated }

// hasFreshPressure reports whether the pressure that the member reported is
// recent enough to rule it out.
func (s *memberState) hasFreshPressure(cfg *Config, now time.Time) bool {
	return s.pressure.Limit > 0 && now.Sub(s.pressureAt) < cfg.PressureMaxAge
}

// admits reports whether the member is expected to admit calls of the priority.
func (s *memberState) admits(cfg *Config, p call.Priority, now time.Time) bool {
	return !s.hasFreshPressure(cfg, now) || p <= s.pressure.AdmitPriority
}

// finish records the result of an attempt. ejectable says whether a failure may
// eject the member.
func (s *memberState) finish(cfg *Config, res call.Result, ejectable bool, rng *rand.Rand, now time.Time) {
	s.inFlight = max(s.inFlight-1, 0)
	s.recordPressure(cfg, res.Pressure, now)
	if res.Pressure.Announced.Leaving {
		s.leavingSince = now
	}
	if res.Reason == call.ReasonLeaving {
		s.leavingSince = now
		return
	}
	switch sig := classify(res); sig {
	case signalSuccess:
		s.recordSuccess(cfg, res, now)
	case signalError, signalNoAnswer:
		s.recordFailure(cfg, sig, ejectable, rng, now)
	case signalNone:
		s.recordCanceled(cfg, res, now)
	case signalRefused:
		if !s.rateLimited() { // otherwise the reported queue delay says when it accepts calls again
			s.refusals.add(cfg, 0, 1, now)
		}
		s.readmit(now)
	}
}

// recordPressure stores the load that the member reported with an answer.
func (s *memberState) recordPressure(cfg *Config, p call.Pressure, now time.Time) {
	if p.Limit <= 0 {
		return
	}
	s.pressure = p
	s.pressureAt = now
	s.inFlightAtPressure = s.inFlight
	if s.paced() {
		others := max(p.InFlight+p.Queued-s.inFlight, 0)
		s.regionLoad.add(cfg, float64(others)/float64(p.Limit), now)
	}
}

// recordSuccess records a successful answer.
func (s *memberState) recordSuccess(cfg *Config, res call.Result, now time.Time) {
	s.outcomes.add(cfg, 1, 0, now)
	s.refusals.add(cfg, 1, 0, now)
	s.consecutiveFailures = 0
	s.recordServiceTime(cfg, res.Latency, now)
	s.readmit(now)
}

// recordServiceTime updates the service time from the latency of one call.
func (s *memberState) recordServiceTime(cfg *Config, latency time.Duration, now time.Time) {
	d := max(latency-s.roundTrip(cfg), 0)
	s.serviceEstimate = smooth(s.serviceEstimate, d, serviceSmoothing)
	s.meanService.add(d)
	s.serviceEstimateAt = now
}

// recordCanceled updates the service time from a call that the caller canceled, if
// the call had already taken longer than the estimate.
func (s *memberState) recordCanceled(cfg *Config, res call.Result, now time.Time) {
	if res.Reason == call.ReasonCanceled && res.Latency-s.roundTrip(cfg) > s.serviceEstimate {
		s.recordServiceTime(cfg, res.Latency, now)
	}
}
