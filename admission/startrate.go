package admission

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/tokenbucket"
)

const (
	// startBurst is the time for which starts that were not used may be made up for.
	// Without a burst, calls that arrive at random wait although the rate has room.
	startBurst = 250 * time.Millisecond

	// minStartsPerSecond is the rate of starts under a lower limit. Only the answer to a
	// call shows that a limit near 0 has ended.
	minStartsPerSecond = 0.2
)

// startRate bounds the starts per second to the rate limit that the backend server
// announces. A concurrency limit does not: with short calls, few at a time are many per
// second.
type startRate struct {
	limited bool
	bucket  tokenbucket.Bucket
}

// set changes the limit. A limit that comes into force begins without a burst, because
// the calls of the last moments were not counted.
func (r *startRate) set(l call.RateLimit, now time.Time) {
	if !l.Stated {
		*r = startRate{}
		return
	}
	r.limited = true
	r.bucket.Refill(now)
	r.bucket.PerSecond = max(l.PerSecond, minStartsPerSecond)
	r.bucket.Burst = max(1, r.bucket.PerSecond*startBurst.Seconds())
	r.bucket.Tokens = min(r.bucket.Tokens, r.bucket.Burst)
}

// available returns the number of calls that may start now, not rounded.
func (r *startRate) available(now time.Time) float64 {
	if !r.limited {
		return math.Inf(1)
	}
	r.bucket.Refill(now)
	return r.bucket.Tokens
}

// wait returns the time until the next call may start.
func (r *startRate) wait(now time.Time) time.Duration {
	missing := 1 - r.available(now)
	if missing <= 0 {
		return 0
	}
	return toDuration(missing / r.bucket.PerSecond)
}

// maxQueueDelay returns the longest predicted wait at which a call that is not critical
// is queued. A call that waits for the rate could run at another member meanwhile, so the
// wait is short, but long enough for the next start under a low limit.
func (r *startRate) maxQueueDelay(cfg *Config) time.Duration {
	if !r.limited {
		return cfg.MaxQueueDelay
	}
	return min(cfg.MaxQueueDelay, max(cfg.MaxRateQueueDelay, toDuration(1/r.bucket.PerSecond)))
}

// count records a start.
func (r *startRate) count(now time.Time) {
	if r.limited {
		r.bucket.Debit(now)
	}
}

// bound returns the lower of rate and the limit, in calls per second.
func (r *startRate) bound(rate float64) float64 {
	if !r.limited {
		return rate
	}
	return min(rate, r.bucket.PerSecond)
}
