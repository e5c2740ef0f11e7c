package logging

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Sampler decides which requests are logged with all their decisions. A request
// that went well is logged if its chain is drawn, the same on every node; any
// other is logged always, up to a rate. What is left out is counted.
type Sampler struct {
	every     uint32 // one of so many chains that went well
	limit     *rate.Limiter
	ordinary  atomic.Uint64
	throttled atomic.Uint64
}

// maxRequestsPerSecond bounds the requests that are logged. At some four lines of
// 300 bytes each this is about 600 KB a second.
const maxRequestsPerSecond = 500

// NewSampler returns a sampler that draws one of so many chains; 1 logs all.
func NewSampler(every int) *Sampler {
	limit := rate.Limit(maxRequestsPerSecond)
	if every == 1 {
		limit = rate.Inf
	}
	return &Sampler{every: uint32(max(every, 1)), limit: rate.NewLimiter(limit, maxRequestsPerSecond)}
}

// Keep reports whether a request is logged; notable says that it did not go well.
// Chains with the same cohort are drawn together.
func (s *Sampler) Keep(notable bool, cohort uint32) bool {
	if !notable && s.every > 1 && cohort%s.every != 0 {
		s.ordinary.Add(1)
		return false
	}
	if !s.limit.Allow() {
		s.throttled.Add(1)
		return false
	}
	return true
}

// Skipped returns the requests that were not logged: those that went well and were
// not drawn, and those beyond the rate.
func (s *Sampler) Skipped() (ordinary, throttled uint64) {
	return s.ordinary.Load(), s.throttled.Load()
}
