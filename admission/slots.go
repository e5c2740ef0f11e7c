package admission

import (
	"math"
	"time"
)

const (
	// lowestUsedFraction is the fraction of the slots that is used at least. Servers
	// that slow down when nearly full are known to do so from 0.95 of their slots.
	lowestUsedFraction = 0.9

	// maxSlotLimits bounds the limits that are compared, from all slots downward.
	maxSlotLimits = 6

	// minSlotSamples and slotSamples are the number of calls, and of calls per slot, after
	// which a limit can be judged. With service times that vary by half of their mean, the
	// mean of 40 is right to 8 %; the slowdown is 30 %. Where all calls of a short time
	// are alike, as in the first milliseconds of a period, 40 say too little.
	minSlotSamples = 40
	slotSamples    = 2

	// slotMemory is the number of calls per slot that the mean of a limit goes back. A
	// mean over one period only follows the classes and jitter of that period: with 200
	// calls, a server of 100 slots was kept at 94 of them for nothing.
	slotMemory = 20

	// classMemory is the number of calls that the relative work of a class goes back.
	classMemory = 1000

	// slotPeriod is the least time for which a limit is kept, and slotPeriodFactor that
	// time as a multiple of the mean latency: most calls that count for a limit must have
	// run wholly under it.
	slotPeriod       = 250 * time.Millisecond
	slotPeriodFactor = 3

	// nearlyBest is the fraction of the best throughput from which a higher limit is
	// preferred. The means are right to some percent, and a slowdown costs more than 10 %.
	nearlyBest = 0.92

	// exploreEvery is the number of periods after which the limit that was not used for
	// longest gets one, since the server may change.
	exploreEvery = 8

	// recheckAfter is the time after which a limit that was found much worse is tried
	// again. Each trial slows down all calls of the server for a period.
	recheckAfter = 15 * time.Second

	// spellFactor is the multiple of the usual pace from which the server is in a slow
	// spell. It slows all calls, whatever the slots in use.
	spellFactor = 1.5

	// usualPaceTime is the time constant of the usual pace. It is far above the time of a
	// spell, whatever the number of reports, or the pace of the spell would become usual.
	usualPaceTime = 10 * time.Second
)

// slotUse learns how many of the slots of a backend server to use. Some servers slow down
// when nearly full, so that the last slots cost more than they give. While calls wait, it
// compares the throughput under several limits, and mostly uses the best.
type slotUse struct {
	limits      []slotLimit // falling
	current     int         // index in limits
	periodStart time.Time
	periods     int

	usualPace  float64
	paceAt     time.Time
	spellUntil time.Time // when the server was last known to be in a slow spell
	occupancy  float64   // integral of the calls in flight over the time until at, in call-seconds
	at         time.Time
}

// slotLimit is one limit with what was seen under it.
type slotLimit struct {
	limit    int
	memory   float64 // number of calls that count
	needed   float64 // number of calls after which it can be judged
	latency  float64 // mean in seconds, as if all calls were of the mean class
	shed     float64 // fraction of the calls that the backend server refused
	samples  float64
	lastUsed time.Time
}

// newSlotUse returns a slotUse that begins with the highest of its limits that does not
// exceed initial.
func newSlotUse(slots, initial int) slotUse {
	lowest := max(1, min(int(lowestUsedFraction*float64(slots)), slots-1))
	step := max(1, int(math.Ceil(float64(slots-lowest)/(maxSlotLimits-1))))
	var u slotUse
	for limit := slots; limit >= lowest; limit -= step {
		u.limits = append(u.limits, slotLimit{
			limit:  limit,
			memory: max(slotMemory*float64(slots), 2*minSlotSamples),
			needed: max(slotSamples*float64(slots), minSlotSamples),
		})
		if limit > initial && limit > lowest {
			u.current = len(u.limits)
		}
	}
	u.current = min(u.current, len(u.limits)-1)
	return u
}

// observePace records a pace that the backend server reported.
func (u *slotUse) observePace(pace float64, now time.Time) {
	if u.paceAt.IsZero() {
		u.usualPace, u.paceAt = 1, now
	}
	weight := -math.Expm1(-max(now.Sub(u.paceAt), 0).Seconds() / usualPaceTime.Seconds())
	u.usualPace += weight * (pace - u.usualPace)
	u.paceAt = now
	if pace > spellFactor*u.usualPace {
		u.spellUntil = now
	}
}

// occupancyAt returns the integral of the calls in flight until now.
func (u *slotUse) occupancyAt(inFlight int, now time.Time) float64 {
	return u.occupancy + float64(inFlight)*max(now.Sub(u.at).Seconds(), 0)
}

// advance records that inFlight calls ran until now.
func (u *slotUse) advance(inFlight int, now time.Time) {
	u.occupancy = u.occupancyAt(inFlight, now)
	u.at = now
}

// limitFor returns the limit under which a call with that mean number of calls in flight
// ran, or nil if it ran with free slots.
func (u *slotUse) limitFor(meanInFlight float64) *slotLimit {
	for i := range u.limits {
		l := &u.limits[i]
		if math.Abs(meanInFlight-float64(l.limit)) <= 0.5 {
			return l
		}
	}
	return nil
}

// inSpell reports whether the server was in a slow spell at the time or after it.
func (u *slotUse) inSpell(since time.Time) bool { return !since.After(u.spellUntil) }

// record records the end of a call that ran since startedAt, when the integral of the
// calls in flight was startOccupancy. seconds is its latency, corrected for the class.
func (u *slotUse) record(seconds float64, startedAt time.Time, startOccupancy float64, now time.Time) {
	elapsed := now.Sub(startedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	l := u.limitFor((u.occupancy - startOccupancy) / elapsed)
	if l == nil {
		return
	}
	l.addShed(0)
	l.samples = min(l.samples+1, l.memory)
	l.latency += (seconds - l.latency) / l.samples
	l.lastUsed = now
}

// recordShed records that the backend server refused a call.
func (u *slotUse) recordShed() { u.limits[u.current].addShed(1) }

// addShed counts a call that the backend server refused (1) or ran (0).
func (l *slotLimit) addShed(refused float64) {
	l.shed += (refused - l.shed) / l.memory
}

// throughput returns the relative throughput under the limit.
func (l *slotLimit) throughput() float64 {
	return float64(l.limit) * (1 - l.shed) / l.latency
}

// judged reports whether enough calls were seen under the limit.
func (l *slotLimit) judged() bool { return l.samples >= l.needed }

// limit returns the limit in force.
func (u *slotUse) limit() int { return u.limits[u.current].limit }

// step chooses the limit of the next period once the current one has ended: while calls
// wait, sometimes one to learn about. Without, other limits would show nothing.
func (u *slotUse) step(waiting bool, meanLatency time.Duration, now time.Time) {
	if now.Sub(u.periodStart) < max(slotPeriod, slotPeriodFactor*meanLatency) {
		return
	}
	u.periodStart = now
	best := u.best()
	if !waiting {
		u.current = best
		return
	}
	u.periods++
	if next, ok := u.explore(best, now); ok {
		u.current = next
		return
	}
	u.current = best
}

// best returns the index of the highest limit whose throughput is nearly the best, the
// current one if none can be judged.
func (u *slotUse) best() int {
	highest := 0.0
	for i := range u.limits {
		if l := &u.limits[i]; l.judged() {
			highest = max(highest, l.throughput())
		}
	}
	for i := range u.limits {
		if l := &u.limits[i]; l.judged() && l.throughput() >= nearlyBest*highest {
			return i
		}
	}
	return u.current
}

// explore returns the index of a limit to try: one that cannot be judged yet in every
// second period, or else the one that was not used for longest. Limits that were found
// much worse are left out for recheckAfter.
func (u *slotUse) explore(best int, now time.Time) (int, bool) {
	if u.periods%2 == 0 {
		for i := range u.limits {
			if !u.limits[i].judged() {
				return i, true
			}
		}
	}
	if u.periods%exploreEvery != 0 {
		return 0, false
	}
	oldest := best
	for i := range u.limits {
		l := &u.limits[i]
		worse := l.judged() && l.throughput() < nearlyBest*u.limits[best].throughput()
		if worse && now.Sub(l.lastUsed) < recheckAfter {
			continue
		}
		if l.lastUsed.Before(u.limits[oldest].lastUsed) {
			oldest = i
		}
	}
	return oldest, true
}
