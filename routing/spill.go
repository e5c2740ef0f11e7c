package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// spillBudget bounds the calls to other regions. One bucket serves calls that
// go past saturated members of the own region and is filled by the calls that
// stay; the other serves calls when the own region has no member to use.
type spillBudget struct {
	spill  bucket
	remote bucket
}

// newSpillBudget returns full buckets.
func newSpillBudget(cfg *Config) spillBudget {
	return spillBudget{
		spill:  bucket{tokens: cfg.SpillBurst, burst: cfg.SpillBurst, perSecond: cfg.SpillPerSecond},
		remote: bucket{tokens: cfg.RemoteBurst, burst: cfg.RemoteBurst, perSecond: cfg.RemotePerSecond},
	}
}

// stayed deposits for a call that stays in the own region.
func (b *spillBudget) stayed(cfg *Config) {
	b.spill.deposit(cfg.SpillRatio)
}

// bucket is a token bucket of which a part can be reserved.
type bucket struct {
	tokens    float64
	burst     float64
	perSecond float64
	filled    time.Time
}

// deposit adds n tokens.
func (b *bucket) deposit(n float64) {
	b.tokens = min(b.tokens+n, b.burst)
}

// take spends one token unless that would cut into the reserved part.
func (b *bucket) take(reserve float64, now time.Time) bool {
	b.fill(now)
	if b.tokens-1 < reserve*b.burst {
		return false
	}
	b.tokens--
	return true
}

// fill adds what the rate has brought since the last call.
func (b *bucket) fill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
	}
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.deposit(elapsed.Seconds() * b.perSecond)
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
