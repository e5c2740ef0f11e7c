package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/tokenbucket"
)

// spillBudget bounds the calls to other regions. One bucket serves calls that
// go past saturated members of the own region and is filled by the calls that
// stay; the other serves calls when the own region has no member to use.
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

// stayed deposits for a call that stays in the own region.
func (b *spillBudget) stayed(cfg *Config) {
	b.spill.Deposit(cfg.SpillRatio)
}

// reserve returns the part of a bucket that the priority leaves to more
// important calls.
func reserve(cfg *Config, p call.Priority) float64 {
	return cfg.SpillReserve[min(int(p), call.NumPriorities-1)]
}

// spillServes reports whether the best of the far members is worth its way: it
// has room and admits the call, and the deadline holds the way there.
func spillServes(cfg *Config, far *state, q Query, now time.Time) bool {
	if far.saturated(cfg, now) || !far.admits(cfg, q.Priority, now) {
		return false
	}
	return q.Deadline.IsZero() || now.Add(far.expected(cfg, now)).Before(q.Deadline)
}

// expected returns the expected response time without lost time.
func (s *state) expected(cfg *Config, now time.Time) time.Duration {
	service := time.Duration(s.serviceTime(cfg, now) * float64(time.Second))
	return s.distance(cfg) + service + s.queueDelay(cfg, now)
}
