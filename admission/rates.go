package admission

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	decayTime           = time.Second // time constant of the counters
	minRateEvents       = 2.0         // offers below which a priority counts as admitted
	lostPriorCalls      = 4.0         // weight, in calls, of the assumption that no answer is lost
	notAdmittedFraction = 0.9         // refused fraction at which a priority counts as not admitted
)

// counter counts events with exponential decay.
type counter struct {
	value float64
	at    time.Time
}

func (c *counter) add(now time.Time) {
	c.value = c.read(now) + 1
	c.at = now
}

func (c *counter) read(now time.Time) float64 {
	if c.value == 0 {
		return 0
	}
	age := max(0, now.Sub(c.at))
	return c.value * math.Exp(-age.Seconds()/decayTime.Seconds())
}

// perSecond returns the rate of events.
func (c *counter) perSecond(now time.Time) float64 {
	return c.read(now) / decayTime.Seconds()
}

// rates holds the recent rates of offers, starts and refusals.
type rates struct {
	offered [call.NumPriorities]counter
	refused [call.NumPriorities]counter
	started [call.NumPriorities]counter
	ended   counter // calls that were not canceled
	lost    counter // of these, calls without a complete answer
}

func priorityIndex(p call.Priority) int { return int(min(p, call.NumPriorities-1)) }

// startedAbove returns the rate of starts more important than p, per second.
func (r *rates) startedAbove(p call.Priority, now time.Time) float64 {
	sum := 0.0
	for i := range min(int(p), call.NumPriorities) {
		sum += r.started[i].perSecond(now)
	}
	return sum
}

// startsPerSecond returns the rate of starts of all priorities.
func (r *rates) startsPerSecond(now time.Time) float64 {
	return r.startedAbove(call.NumPriorities, now)
}

// countEnd counts the end of a call that was not canceled.
func (r *rates) countEnd(s Sample, now time.Time) {
	if s.Canceled {
		return
	}
	r.ended.add(now)
	if s.Lost {
		r.lost.add(now)
	}
}

// lostFraction returns the fraction of recent calls without a complete answer, at
// least 0 and below 1.
func (r *rates) lostFraction(now time.Time) float64 {
	return r.lost.read(now) / (r.ended.read(now) + lostPriorCalls)
}

// offersPerStart returns the ratio of offers to starts, at least 1.
func (r *rates) offersPerStart(now time.Time) float64 {
	var offered, started float64
	for i := range call.NumPriorities {
		offered += r.offered[i].read(now)
		started += r.started[i].read(now)
	}
	return max(1, offered/max(1, started))
}

// servedFraction returns the recent starts of the priority at the index as a fraction of
// its offers, at most 1.
func (r *rates) servedFraction(index int, now time.Time) float64 {
	offered := r.offered[index].read(now)
	if offered <= 0 {
		return 1
	}
	return min(1, r.started[index].read(now)/offered)
}

// lowestAdmitted returns the least important priority that is admitted: that has
// few offers, or fewer than notAdmittedFraction of them refused.
func (r *rates) lowestAdmitted(now time.Time) call.Priority {
	for p := call.NumPriorities - 1; p > 0; p-- {
		offered := r.offered[p].read(now)
		if offered < minRateEvents || r.refused[p].read(now) < notAdmittedFraction*offered {
			return call.Priority(p)
		}
	}
	return call.PriorityCritical
}
