package logging

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Sampler selects the requests that are logged with all their decisions: every notable
// request, such as a failed or slow one, and the ordinary requests of a sample of the
// chains, which is the same on every node. A rate limit applies to both. Requests that
// are not logged are counted.
type Sampler struct {
	interval  uint32 // logs 1 in interval chains of ordinary requests
	limiter   *rate.Limiter
	ordinary  atomic.Uint64
	throttled atomic.Uint64
}

// maxLoggedRequestsPerSecond limits the log volume to about 600 KB/s, at about
// four lines of 300 bytes per request.
const maxLoggedRequestsPerSecond = 500

// NewSampler returns a sampler that logs the ordinary requests of 1 in interval
// chains. With an interval of 1 all requests are logged, without a rate limit.
func NewSampler(interval int) *Sampler {
	limit := rate.Limit(maxLoggedRequestsPerSecond)
	if interval == 1 {
		limit = rate.Inf
	}
	return &Sampler{interval: uint32(max(interval, 1)), limiter: rate.NewLimiter(limit, maxLoggedRequestsPerSecond)}
}

// Keep reports whether a request is logged, and counts it if not. notable marks a
// request that is logged whether or not its chain is sampled. Chains with the same
// cohort are sampled together.
func (s *Sampler) Keep(notable bool, cohort uint32) bool {
	if !notable && s.interval > 1 && cohort%s.interval != 0 {
		s.ordinary.Add(1)
		return false
	}
	if !s.limiter.Allow() {
		s.throttled.Add(1)
		return false
	}
	return true
}

// Skipped returns the number of requests that were not logged: ordinary ones that
// were not sampled, and those above the rate limit.
func (s *Sampler) Skipped() (ordinary, throttled uint64) {
	return s.ordinary.Load(), s.throttled.Load()
}
