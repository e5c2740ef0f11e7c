package quota

import "time"

// Pacing of messages from one group head to one owner.
const (
	// renewInterval is the least time from a message to one that only renews tokens.
	renewInterval = 100 * time.Millisecond

	// urgentInterval is the least time from a message to one for which requests wait.
	urgentInterval = 10 * time.Millisecond
)

// Pacer bounds the messages from a group head to an owner.
type Pacer struct{ last time.Time }

// UrgentWait returns how long to wait until an urgent message may be sent.
func (p *Pacer) UrgentWait(now time.Time) time.Duration {
	return max(urgentInterval-now.Sub(p.last), 0)
}

// Allow reports whether a message may be sent now, and counts it if so.
func (p *Pacer) Allow(u Urgency, now time.Time) bool {
	interval := renewInterval
	switch u {
	case NoNeed:
		return false
	case Urgent:
		interval = urgentInterval
	}
	if !p.last.IsZero() && now.Sub(p.last) < interval {
		return false
	}
	p.last = now
	return true
}
