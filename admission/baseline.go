package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minCoverage is the part of the samples that must be in classes that occur
	// on both sides of a comparison.
	minCoverage = 0.5

	// minWeight is the least sum of weights, in samples, of a comparison.
	minWeight = 12

	// marginStdErrs is the number of standard errors by which a ratio is lowered.
	marginStdErrs = 1.5
)

// classSum adds up the latencies of one class, in seconds.
type classSum struct {
	seconds, squares float64
	count            int
}

func (s classSum) mean() float64 { return s.seconds / float64(s.count) }

// squaredDeviations returns the sum of squared differences from the mean.
func (s classSum) squaredDeviations() float64 { return max(0, s.squares-s.seconds*s.mean()) }

// classSums adds up the latencies of each class over some time.
type classSums struct {
	classes []classSum // by classLatency.index
	count   int
}

func (s *classSums) add(classIndex int, seconds float64) {
	if classIndex >= len(s.classes) {
		s.classes = append(s.classes, make([]classSum, classIndex+1-len(s.classes))...)
	}
	c := &s.classes[classIndex]
	c.seconds += seconds
	c.squares += seconds * seconds
	c.count++
	s.count++
}

// ratioTo returns how much longer calls took than in base, less a margin for
// chance. It is false if too few classes can be compared.
//
// The means of a class are weighted by the inverse of the variance of their
// difference, so that a class with few samples on either side counts little. The
// relative variance is taken to be the same in all classes.
func (s *classSums) ratioTo(base *classSums) (float64, bool) {
	var measured, expected, squares, deviations, weights float64
	covered, degreesOfFreedom := 0, 0
	for i := range min(len(s.classes), len(base.classes)) {
		a, b := s.classes[i], base.classes[i]
		if a.count == 0 || b.count == 0 {
			continue
		}
		weight := 1 / (1/float64(a.count) + 1/float64(b.count))
		weights += weight
		measured += weight * a.mean()
		expected += weight * b.mean()
		pooledMean := (a.seconds + b.seconds) / float64(a.count+b.count)
		squares += weight * pooledMean * pooledMean
		deviations += (a.squaredDeviations() + b.squaredDeviations()) / (pooledMean * pooledMean)
		degreesOfFreedom += a.count + b.count - 2
		covered += a.count
	}
	if weights < minWeight || expected <= 0 || float64(covered) < minCoverage*float64(s.count) {
		return 1, false
	}
	margin := marginStdErrs * math.Sqrt(squares*deviations/float64(degreesOfFreedom))
	return (measured - margin) / expected, true
}

// baseline holds the latencies of the recent past in buckets. The bucket with
// the lowest latencies stands for the backend server without queueing.
//
// Classes are compared one by one, because their sub-calls differ: a change in
// the mix of classes must not look like a change of the backend server.
type baseline struct {
	buckets []*classSums // oldest first
	openBucket    classSums
	openedAt   time.Time
}

// add records a call and reports whether that closed a bucket.
func (b *baseline) add(cfg *Config, classIndex int, seconds float64, now time.Time) bool {
	if b.openBucket.count == 0 {
		b.openedAt = now
	}
	b.openBucket.add(classIndex, seconds)
	samples := cfg.BucketSamples
	if b.empty() {
		samples = cfg.WindowSamples // calls wait for the first one
	}
	if b.openBucket.count < samples || now.Sub(b.openedAt) < cfg.BucketDuration {
		return false
	}
	if len(b.buckets) >= cfg.Buckets {
		b.buckets = slices.Delete(b.buckets, 0, 1)
	}
	closed := b.openBucket
	b.buckets = append(b.buckets, &closed)
	b.discardOpenBucket()
	return true
}

// empty reports whether no bucket has closed yet.
func (b *baseline) empty() bool { return len(b.buckets) == 0 }

// discardOpenBucket discards the open bucket.
func (b *baseline) discardOpenBucket() { b.openBucket = classSums{} }

// ratio returns how much longer the calls of a window took than in the bucket
// with the lowest latencies; 1 if there is none to compare with.
func (b *baseline) ratio(window *classSums) float64 {
	highest := 0.0
	for _, bucket := range b.buckets {
		if r, ok := window.ratioTo(bucket); ok {
			highest = max(highest, r)
		}
	}
	if highest == 0 {
		return 1
	}
	return highest
}

// reset makes the latencies of a window the baseline.
func (b *baseline) reset(window classSums) {
	b.buckets = []*classSums{&window}
	b.discardOpenBucket()
}
