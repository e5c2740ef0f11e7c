package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// healthSignal is what a result tells about the health of a member.
type healthSignal uint8

const (
	signalNone     healthSignal = iota // tells nothing, for example a canceled call
	signalSuccess                      // a complete answer with a status below 500
	signalRefused                      // the member works but rejects more load
	signalError                        // an answer with a status of 500 or above
	signalNoAnswer                     // no complete answer: the member or the connection to it failed
)

// classify returns the health signal of a result.
func classify(res call.Result) healthSignal {
	switch res.Outcome {
	case call.Answered:
		if res.Status >= 500 {
			return signalError
		}
		return signalSuccess
	case call.Refused:
		switch res.Reason {
		case call.ReasonQueueFull, call.ReasonDeadline, call.ReasonThrottled, call.ReasonShed:
			return signalRefused
		case call.ReasonConnect, call.ReasonConnLost, call.ReasonWithdrawn:
			return signalNoAnswer
		}
		return signalNone
	case call.Unknown:
		if res.Reason == call.ReasonCanceled {
			return signalNone
		}
		return signalNoAnswer
	}
	return signalNone
}

// decayingCounts counts good and bad results with exponential decay.
type decayingCounts struct {
	good, bad float64
	updatedAt time.Time
}

// add counts results. Earlier ones first decay by their age and are scaled down so
// that at most OutcomeVolume of them count.
func (o *decayingCounts) add(cfg *Config, good, bad float64, now time.Time) {
	retained := decay(now.Sub(o.updatedAt), cfg.OutcomeHalfLife)
	if volume := (o.good + o.bad) * retained; volume > cfg.OutcomeVolume {
		retained *= cfg.OutcomeVolume / volume
	}
	o.good = o.good*retained + good
	o.bad = o.bad*retained + bad
	o.updatedAt = now
}

// volume returns the number of results, decayed by age.
func (o *decayingCounts) volume(cfg *Config, now time.Time) float64 {
	return (o.good + o.bad) * decay(now.Sub(o.updatedAt), cfg.OutcomeHalfLife)
}

// priorSuccesses is the number of successes assumed before any result. It keeps a few
// early failures from looking like a high failure rate.
const priorSuccesses = 1

// rate returns the fraction of bad results, from 0 to below 1.
func (o *decayingCounts) rate(cfg *Config, now time.Time) float64 {
	retained := decay(now.Sub(o.updatedAt), cfg.OutcomeHalfLife)
	return o.bad * retained / ((o.good+o.bad)*retained + priorSuccesses)
}
