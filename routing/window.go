package routing

import "time"

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 10

// window counts requests and accepts over the last ThrottleWindow.
type window struct {
	buckets [windowBuckets]windowBucket
}

// windowBucket holds the counts of one part of the window.
type windowBucket struct {
	number   int64 // of the bucket, counted from the Unix epoch
	requests float64
	accepts  float64 // negative if more refusals arrived in this part than attempts were sent
}

// bucketNumber returns the number of the bucket that contains now.
func bucketNumber(cfg *Config, now time.Time) int64 {
	return now.UnixNano() / max(int64(cfg.ThrottleWindow/windowBuckets), 1)
}

// add adds to the counts of the current bucket.
func (w *window) add(cfg *Config, requests, accepts float64, now time.Time) {
	n := bucketNumber(cfg, now)
	b := &w.buckets[uint64(n)%windowBuckets]
	if b.number != n {
		*b = windowBucket{number: n}
	}
	b.requests += requests
	b.accepts += accepts
}

// sums returns the numbers of requests and accepts in the window.
func (w *window) sums(cfg *Config, now time.Time) (requests, accepts float64) {
	oldest := bucketNumber(cfg, now) - windowBuckets
	for _, b := range w.buckets {
		if b.number > oldest {
			requests += b.requests
			accepts += b.accepts
		}
	}
	return requests, max(accepts, 0)
}

// excessRatio returns the probability of a refusal: the fraction of the requests in
// excess of ThrottleFactor times the accepts, or 0 below ThrottleMinRequests.
func (w *window) excessRatio(cfg *Config, now time.Time) float64 {
	requests, accepts := w.sums(cfg, now)
	if requests < cfg.ThrottleMinRequests {
		return 0
	}
	return max((requests-cfg.ThrottleFactor*accepts)/(requests+1), 0)
}

// forgetRefusals removes a fraction of the refusals, RecoveryForget, from each bucket.
func (w *window) forgetRefusals(cfg *Config, now time.Time) {
	oldest := bucketNumber(cfg, now) - windowBuckets
	for i := range w.buckets {
		b := &w.buckets[i]
		if b.number <= oldest || b.requests <= b.accepts {
			continue
		}
		b.requests -= cfg.RecoveryForget * (b.requests - b.accepts)
	}
}
