package admission

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Pressure returns the current load.
func (c *Controller) Pressure(now time.Time) call.Pressure {
	p := c.rates.lowestAdmitted(now)
	limit, inFlight := c.usableLimit(now)
	return call.Pressure{
		Limit:         limit,
		InFlight:      inFlight,
		Queued:        c.queue.size,
		AdmitPriority: p,
		QueueDelay:    c.queueDelay(p, now),
		ServiceTime:   c.serviceTime(),
		Lost:          c.rates.lostFraction(now),
		Pace:          c.pace.current(now),
	}
}

// usableLimit returns the concurrency limit that callers can use and the part of it in
// use. Under a rate limit, it is the number of calls in flight that the rate sustains
// (Little's law), all in use while no call may start.
func (c *Controller) usableLimit(now time.Time) (limit, inUse int) {
	limit, inUse = c.limit(now), c.inFlight
	if !c.startRate.limited {
		return limit, inUse
	}
	sustained := c.startRate.bucket.PerSecond * c.latencies.mean().Seconds()
	limit = min(limit, max(1, int(math.Ceil(sustained))))
	if c.startRate.available(now) < 1 {
		inUse = max(inUse, limit)
	}
	return limit, inUse
}

// queueDelay returns the expected wait of a new call of priority p.
func (c *Controller) queueDelay(p call.Priority, now time.Time) time.Duration {
	ahead := c.queue.countUpTo(p)
	if ahead == 0 && c.inFlight < c.limit(now) {
		return c.startRate.wait(now)
	}
	return c.expectedWait(ahead+1, p, now)
}
