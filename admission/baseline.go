package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minCoverage is the fraction of the samples that must be in classes that
	// also have samples in the baseline bucket.
	minCoverage = 0.5

	// minWeight is the least sum of the class weights, in samples, of a comparison.
	minWeight = 12

	// marginStdErrs is the margin, in standard errors, by which a ratio is lowered.
	marginStdErrs = 1.5
)

// classSum holds the sums of the latencies of one class and of their squares,
// in seconds.
type classSum struct {
	seconds, squares float64
	count            int
}

func (s classSum) mean() float64 { return s.seconds / float64(s.count) }

// squaredDeviations returns the sum of the squared deviations from the mean.
func (s classSum) squaredDeviations() float64 { return max(0, s.squares-s.seconds*s.mean()) }

// classSums holds the sums of each class for one window or one bucket.
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

// ratioTo returns the ratio of the latencies to those of base, lowered by a
// margin for random variation. It returns false if too few samples can be
// compared.
//
// The means of each class are weighted by the inverse of the variance of their
// difference, so that a class with few samples on either side counts little. The
// relative variance is assumed to be the same in all classes.
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
	if weights < minWeight || expected <= 0 || degreesOfFreedom <= 0 || float64(covered) < minCoverage*float64(s.count) {
		return 1, false
	}
	margin := marginStdErrs * math.Sqrt(squares*deviations/float64(degreesOfFreedom))
	return (measured - margin) / expected, true
}

// baseline holds recent latencies in buckets. The bucket with the lowest
// latencies represents the backend server without queueing.
//
// Latencies are compared per class, because sub-calls differ between classes: a
// change in the mix of classes must not look like a change of the backend server.
type baseline struct {
	buckets    []*classSums // oldest first
	openBucket classSums
	openedAt   time.Time
}

// add records a call and reports whether that completed the open bucket.
func (b *baseline) add(cfg *Config, classIndex int, seconds float64, now time.Time) bool {
	if b.openBucket.count == 0 {
		b.openedAt = now
	}
	b.openBucket.add(classIndex, seconds)
	samples := cfg.BucketSamples
	if b.empty() {
		samples = cfg.WindowSamples // calls wait until the first bucket lets the limit grow
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

// empty reports whether no bucket is complete yet.
func (b *baseline) empty() bool { return len(b.buckets) == 0 }

func (b *baseline) discardOpenBucket() { b.openBucket = classSums{} }

// ratio returns the ratio of the latencies of a window to those of the bucket
// with the lowest latencies, or 1 if no bucket can be compared.
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

// reset replaces the baseline by the latencies of a window.
func (b *baseline) reset(window classSums) {
	b.buckets = []*classSums{&window}
	b.discardOpenBucket()
}
