package routing

import (
	"math"
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
	ejectedUntil time.Time
	ejected      bool
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

// probeDue reports whether an ejected member may get its single probe.
func (s *state) probeDue(now time.Time) bool {
	return s.ejected && s.inFlight == 0 && !now.Before(s.ejectedUntil)
}

// fresh reports whether the told pressure still decides.
func (s *state) fresh(cfg *Config, now time.Time) bool {
	return s.pressure.Limit > 0 && now.Sub(s.pressureAt) < cfg.PressureMaxAge
}

// admits reports whether the member is thought to admit the priority.
func (s *state) admits(cfg *Config, p call.Priority, now time.Time) bool {
	return !s.fresh(cfg, now) || p <= s.pressure.AdmitPriority
}

// finish records the end of an own attempt. outlier says that the member fails
// more often than the others.
func (s *state) finish(cfg *Config, res call.Result, outlier bool, rng *rand.Rand, now time.Time) {
	s.inFlight = max(s.inFlight-1, 0)
	s.learnPressure(res.Pressure, now)
	if res.Reason == call.ReasonLeaving {
		s.leftAt = now
		return
	}
	switch judge(res) {
	case verdictGood:
		s.succeed(cfg, res, now)
	case verdictError:
		s.fail(cfg, outlier, rng, now)
	case verdictSilent:
		s.fail(cfg, true, rng, now)
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

// fail records a failure. It ejects the member if that fails too often, so far
// as ejectable says that the failures are its own.
func (s *state) fail(cfg *Config, ejectable bool, rng *rand.Rand, now time.Time) {
	s.outcomes.add(cfg, 0, 1, now)
	s.consecutive++
	if s.ejected || (ejectable && s.failing(cfg, now)) {
		s.eject(cfg, rng, now)
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
	s.ejectedUntil = now.Add(spread(d, rng))
}

// maxEjectDoublings keeps the time of ejection from overflowing.
const maxEjectDoublings = 16

// readmit ends an ejection after proof that the member works.
func (s *state) readmit(now time.Time) {
	if !s.ejected {
		return
	}
	s.ejected = false
	s.consecutive = 0
	s.outcomes = outcomes{good: 1, bad: 1, at: now}
	s.rampFrom = now
}

// settle forgets earlier ejections once the member has stayed well for a ramp.
func (s *state) settle(cfg *Config, now time.Time) {
	if s.ejected || s.rampFrom.IsZero() || now.Sub(s.rampFrom) < cfg.RampTime {
		return
	}
	s.rampFrom = time.Time{}
	s.ejections = 0
}

// verdict is what one result says about a member.
type verdict uint8

const (
	verdictNone    verdict = iota // says nothing, for example a canceled call
	verdictGood                   // a whole answer
	verdictRefused                // works, but does not want more load
	verdictError                  // answered that it failed
	verdictSilent                 // the member or the way to it gave no answer
)

// judge says what a result tells about the member that gave it.
func judge(res call.Result) verdict {
	switch res.Outcome {
	case call.Answered:
		if res.Status >= 500 {
			return verdictError
		}
		return verdictGood
	case call.Refused:
		switch res.Reason {
		case call.ReasonQueueFull, call.ReasonDeadline, call.ReasonThrottled, call.ReasonShed:
			return verdictRefused
		case call.ReasonConnect, call.ReasonConnLost, call.ReasonWithdrawn:
			return verdictSilent
		}
		return verdictNone
	case call.Unknown:
		if res.Reason == call.ReasonCanceled {
			return verdictNone
		}
		return verdictSilent
	}
	return verdictNone
}

// outcomes counts good and bad results with exponential forgetting.
type outcomes struct {
	good, bad float64
	at        time.Time
}

// add counts results after forgetting a part of the earlier ones.
func (o *outcomes) add(cfg *Config, good, bad float64, now time.Time) {
	k := decay(now.Sub(o.at), cfg.OutcomeHalfLife)
	o.good = o.good*k + good
	o.bad = o.bad*k + bad
	o.at = now
}

// volume returns the number of results that still count.
func (o *outcomes) volume(cfg *Config, now time.Time) float64 {
	return (o.good + o.bad) * decay(now.Sub(o.at), cfg.OutcomeHalfLife)
}

// priorResults is the weight of the assumption that a member works.
const priorResults = 1

// rate returns the part of bad results, from 0 to below 1.
func (o *outcomes) rate(cfg *Config, now time.Time) float64 {
	k := decay(now.Sub(o.at), cfg.OutcomeHalfLife)
	return o.bad * k / ((o.good+o.bad)*k + priorResults)
}

// decay returns the part that is left of a value after elapsed.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// serviceSmoothing is the weight of one answer in a member's service time.
const serviceSmoothing = 0.3

// smooth moves a smoothed duration towards d by weight; 0 means that there was
// none.
func smooth(old, d time.Duration, weight float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(weight*float64(d-old))
}

// spread returns d changed by up to half of it either way.
func spread(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
