package memlimit

import (
	"testing"

	"pgregory.net/rapid"
)

// collector models the cost of collections: a heap at the limit is collected all the time, one
// far below it seldom.
type collector struct{ live int64 }

func (m collector) cost(limit int64) float64 {
	headroom := limit - m.live
	if headroom <= 0 {
		return 1
	}
	return min(1, 0.1*float64(m.live)/float64(headroom))
}

// TestLimitLeavesRoomForTheLiveHeap draws a VM and a live heap. Within twelve samples collections
// must be cheap, unless the heap needs more than the process may take; once the load has ended,
// the limit must sink to the minimum again.
func TestLimitLeavesRoomForTheLiveHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(rapid.Int64Range(0, 2<<30).Draw(t, "vm"))
		m := collector{live: rapid.Int64Range(1<<20, 400<<20).Draw(t, "live")}
		c := New(cfg)
		for range 12 {
			c.Observe(m.cost(c.Limit()))
		}
		if cost := m.cost(c.Limit()); cost > cfg.HighCost && c.Limit() < cfg.Max {
			t.Fatalf("live heap %d: cost %.2f at limit %d of at most %d", m.live, cost, c.Limit(), cfg.Max)
		}
		if c.Limit() < cfg.Min || c.Limit() > cfg.Max {
			t.Fatalf("limit %d is not between %d and %d", c.Limit(), cfg.Min, cfg.Max)
		}
		for range 60 * cfg.LowCount {
			c.Observe(0)
		}
		if c.Limit() != cfg.Min {
			t.Fatalf("limit %d after the load, minimum %d", c.Limit(), cfg.Min)
		}
	})
}

// TestLimitStaysBetweenBursts guards against a limit that follows short pauses of the load.
func TestLimitStaysBetweenBursts(t *testing.T) {
	c := New(DefaultConfig(1 << 30))
	c.Observe(0.5)
	high := c.Limit()
	for range 10 {
		for range DefaultConfig(0).LowCount - 1 {
			c.Observe(0)
		}
		c.Observe(0.1)
	}
	if c.Limit() != high {
		t.Fatalf("limit %d, was %d", c.Limit(), high)
	}
}
