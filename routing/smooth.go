package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// decay returns the fraction of a value that is left after the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// serviceSmoothing is the weight of one answer in the service time of a member.
const serviceSmoothing = 0.3

// smooth returns the exponentially weighted moving average after d. An old value of 0
// means that there was none.
func smooth(old, d time.Duration, weight float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(weight*float64(d-old))
}

// jitter returns a random duration from half of d to one and a half times d.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
