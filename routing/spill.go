package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/tokenbucket"
)

// spillBudget bounds the calls to other regions. The spill bucket limits calls that
// bypass saturated members of the caller's region, and calls that stay in the region
// refill it. The remote bucket limits calls while the region has no usable member.
type spillBudget struct {
	spill  tokenbucket.Bucket
	remote tokenbucket.Bucket
}

// newSpillBudget returns full buckets.
func newSpillBudget(cfg *Config) spillBudget {
	return spillBudget{
		spill:  tokenbucket.Bucket{Tokens: cfg.SpillBurst, Burst: cfg.SpillBurst, PerSecond: cfg.SpillPerSecond},
		remote: tokenbucket.Bucket{Tokens: cfg.RemoteBurst, Burst: cfg.RemoteBurst, PerSecond: cfg.RemotePerSecond},
	}
}

// depositInRegion adds SpillRatio tokens for a call that stays in the caller's region.
func (b *spillBudget) depositInRegion(cfg *Config) {
	b.spill.Deposit(cfg.SpillRatio)
}

// reserve returns the fraction of a bucket that the priority must leave to more
// important calls.
func reserve(cfg *Config, p call.Priority) float64 {
	return cfg.SpillReserve[min(int(p), call.NumPriorities-1)]
}

// canServeSpill reports whether a member of another region can serve a spilled call: it
// has capacity, admits the priority and is expected to answer before the deadline.
func canServeSpill(cfg *Config, s *memberState, q Query, now time.Time) bool {
	if s.saturated(cfg, now) || !s.admits(cfg, q.Priority, now) {
		return false
	}
	return q.Deadline.IsZero() || now.Add(s.expectedResponse(cfg, now)).Before(q.Deadline)
}

// expectedResponse returns the expected response time without penalties for load
// and failures.
func (s *memberState) expectedResponse(cfg *Config, now time.Time) time.Duration {
	service := time.Duration(s.serviceTime(cfg, now) * float64(time.Second))
	return s.roundTrip(cfg) + service + s.queueDelay(cfg, now)
}
