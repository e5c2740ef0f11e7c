package admission

import (
	"slices"
	"time"
)

const (
	serviceGain     = 0.1 // weight of a new sample in the typical service time
	minBucketCount  = 20  // samples below which a baseline bucket stays open
	maxClasses      = 64  // classes with statistics of their own
	overflowClass   = ""  // statistics shared by all further classes
	initialMeanTime = 20 * time.Millisecond
)

// classLatency holds the latency statistics of one class, in seconds. Classes
// are kept apart because their sub-calls differ: a change in the mix of classes
// must not look like a change of the backend server.
type classLatency struct {
	mean, dev float64 // moving averages of service time and absolute deviation

	buckets     []float64 // means of closed buckets, oldest first
	bucketSum   float64
	bucketCount int
	bucketStart time.Time
}

// add records a complete call.
func (c *classLatency) add(cfg *Config, seconds float64, now time.Time) {
	c.smooth(seconds)
	if c.bucketCount == 0 {
		c.bucketStart = now
	}
	c.bucketSum += seconds
	c.bucketCount++
	if c.bucketCount >= minBucketCount && now.Sub(c.bucketStart) >= cfg.BucketDuration {
		c.closeBucket(cfg)
	}
}

// addLowerBound records a call that ended early: it would have taken at least
// this long, so it may raise the typical service time but not the baseline.
func (c *classLatency) addLowerBound(seconds float64) {
	if seconds > c.mean {
		c.smooth(seconds)
	}
}

func (c *classLatency) smooth(seconds float64) {
	if c.mean == 0 {
		c.mean = seconds
		c.dev = seconds / 2
		return
	}
	diff := seconds - c.mean
	c.mean += serviceGain * diff
	c.dev += serviceGain * (max(diff, -diff) - c.dev)
}

func (c *classLatency) closeBucket(cfg *Config) {
	if len(c.buckets) >= cfg.Buckets {
		c.buckets = slices.Delete(c.buckets, 0, 1)
	}
	c.buckets = append(c.buckets, c.bucketSum/float64(c.bucketCount))
	c.dropBucket()
}

// dropBucket discards the open bucket.
func (c *classLatency) dropBucket() {
	c.bucketSum = 0
	c.bucketCount = 0
}

// baseline returns the latency without queueing in the backend server, or 0 if
// it is not known yet.
func (c *classLatency) baseline() float64 {
	if len(c.buckets) == 0 {
		return 0
	}
	return slices.Min(c.buckets)
}

// rebase raises the baseline to the present mean.
func (c *classLatency) rebase() {
	for i, b := range c.buckets {
		c.buckets[i] = max(b, c.mean)
	}
	c.dropBucket()
}

// typical returns the time that most calls of the class finish in, in seconds.
func (c *classLatency) typical() float64 { return c.mean + c.dev }

// latencies holds the statistics of all classes.
type latencies struct {
	classes map[string]*classLatency
	all     classLatency // of all classes together; only mean and dev are used
}

func newLatencies() *latencies {
	return &latencies{classes: make(map[string]*classLatency)}
}

// class returns the statistics of a class and creates them if there is room.
func (l *latencies) class(name string) *classLatency {
	if c := l.classes[name]; c != nil {
		return c
	}
	if len(l.classes) >= maxClasses {
		name = overflowClass
		if c := l.classes[name]; c != nil {
			return c
		}
	}
	c := &classLatency{}
	l.classes[name] = c
	return c
}

// typical returns the typical service time of a class, or of all classes if
// the class has no samples; 0 if nothing is known.
func (l *latencies) typical(name string) time.Duration {
	if c := l.classes[name]; c != nil && c.mean > 0 {
		return toDuration(c.typical())
	}
	return toDuration(l.all.typical())
}

// mean returns the mean service time of all classes.
func (l *latencies) mean() time.Duration {
	if l.all.mean == 0 {
		return initialMeanTime
	}
	return toDuration(l.all.mean)
}

// rebase raises the baseline of all classes to their present means.
func (l *latencies) rebase() {
	for _, c := range l.classes {
		c.rebase()
	}
}

// reset forgets the baselines, and keeps the service times as a first guess.
func (l *latencies) reset() {
	for _, c := range l.classes {
		c.buckets = nil
		c.dropBucket()
	}
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// dropBuckets discards the open buckets of all classes.
func (l *latencies) dropBuckets() {
	for _, c := range l.classes {
		c.dropBucket()
	}
}
