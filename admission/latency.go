package admission

import "time"

const (
	// maxClassProbes is the number of calls of a class that may be in flight
	// although they are expected to miss their deadlines. Their samples show when
	// the class has become fast again.
	maxClassProbes = 2

	// While maxClassProbes calls are in flight, one more may start once the last
	// start is probeSpacing times the typical service time ago.
	probeSpacing = 0.25

	// A call that takes less than fastCallFraction of the typical service time
	// allows fastCallStarts more starts, so that samples multiply after a slowdown
	// has ended. The product of the probability of such a call and fastCallStarts
	// is below 1 while the typical service time is right, also for exponentially
	// distributed service times.
	fastCallFraction = 0.125
	fastCallStarts   = 2
	maxExtraStarts   = 8

	// clipFactor caps a sample at this multiple of the typical service time.
	clipFactor = 4

	serviceGain     = 0.1 // weight of a new sample in the moving averages
	maxClasses      = 64  // entries in latencies.classes
	overflowClass   = ""  // entry shared by all further classes
	initialMeanTime = 20 * time.Millisecond
)

// classLatency holds the moving averages of one class, in seconds.
type classLatency struct {
	index           int // in classSums.classes
	mean, deviation float64
	inFlight        int
	lastStart       time.Time
	extraStarts     int // starts allowed although the calls are expected to end late

	longMean  float64 // mean over classMemory calls
	longCount float64
}

// addLong adds a latency to the mean over many calls.
func (c *classLatency) addLong(seconds float64) {
	c.longCount = min(c.longCount+1, classMemory)
	c.longMean += (seconds - c.longMean) / c.longCount
}

func (c *classLatency) addSample(seconds float64) {
	if c.mean == 0 {
		c.mean = seconds
		c.deviation = seconds / 2
		return
	}
	diff := min(seconds, clipFactor*c.typical()) - c.mean
	c.mean += serviceGain * diff
	c.deviation += serviceGain * (max(diff, -diff) - c.deviation)
}

// typical returns a service time that most calls do not exceed, in seconds.
func (c *classLatency) typical() float64 { return c.mean + c.deviation }

// latencies holds the service times of each class and of all together.
type latencies struct {
	classes map[string]*classLatency
	all     classLatency
	usual   classLatency // of all classes at a pace of 1, empty without a known pace
}

func newLatencies() *latencies {
	return &latencies{classes: make(map[string]*classLatency)}
}

// class returns the entry of a class. It creates a missing entry while there is room
// and uses the overflow entry otherwise.
func (l *latencies) class(name string) *classLatency {
	if c := l.classes[name]; c != nil {
		return c
	}
	if len(l.classes) >= maxClasses-1 {
		name = overflowClass
		if c := l.classes[name]; c != nil {
			return c
		}
	}
	c := &classLatency{index: len(l.classes)}
	l.classes[name] = c
	return c
}

// recordComplete records a call that neither failed nor was canceled.
func (l *latencies) recordComplete(c *classLatency, seconds float64) {
	if seconds < fastCallFraction*c.typical() {
		c.extraStarts = min(c.extraStarts+fastCallStarts, maxExtraStarts)
	}
	c.addSample(seconds)
	l.all.addSample(seconds)
}

// recordPartial records a call that failed or was canceled. Its latency is a lower
// bound, so it may raise the mean service time but not lower it.
func (l *latencies) recordPartial(c *classLatency, seconds float64) {
	if seconds > c.mean {
		c.addSample(seconds)
	}
	if seconds > l.all.mean {
		l.all.addSample(seconds)
	}
}

// start records the start of a call.
func (l *latencies) start(name string, now time.Time) {
	c := l.class(name)
	c.inFlight++
	c.lastStart = now
	c.extraStarts = max(0, c.extraStarts-1)
}

// end records the end of a call and returns the entry of its class.
func (l *latencies) end(name string) *classLatency {
	c := l.class(name)
	c.inFlight--
	return c
}

// expectedServiceTime returns the expected service time of another call of a
// class. It is 0 if nothing is known yet or if the class needs samples, so that the
// call may start.
func (l *latencies) expectedServiceTime(name string, now time.Time) time.Duration {
	c := l.class(name)
	typical := toDuration(c.typical())
	spacing := time.Duration(probeSpacing * float64(typical))
	if c.inFlight < maxClassProbes || c.extraStarts > 0 || now.Sub(c.lastStart) >= spacing {
		return 0
	}
	return typical
}

// mean returns the mean service time of all classes.
func (l *latencies) mean() time.Duration {
	if l.all.mean == 0 {
		return initialMeanTime
	}
	return toDuration(l.all.mean)
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
