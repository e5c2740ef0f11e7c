package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// decay returns the part that is left of a value after elapsed.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 || halfLife <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// serviceSmoothing is the weight of one answer in a member's service time.
const serviceSmoothing = 0.3

// smooth moves a smoothed duration towards d by weight; 0 means that there was
// none.
func smooth(old, d time.Duration, weight float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(weight*float64(d-old))
}

// spread returns d changed by up to half of it either way.
func spread(d time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
