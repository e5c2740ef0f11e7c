package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

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

// add counts results after forgetting a part of the earlier ones: by their age, and
// by the number that counts at most.
func (o *outcomes) add(cfg *Config, good, bad float64, now time.Time) {
	k := decay(now.Sub(o.at), cfg.OutcomeHalfLife)
	if volume := (o.good + o.bad) * k; volume > cfg.OutcomeVolume {
		k *= cfg.OutcomeVolume / volume
	}
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
