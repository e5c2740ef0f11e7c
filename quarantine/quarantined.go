package quarantine

import "time"

// quarantined is a request that must not run, but for one attempt after each delay.
type quarantined struct {
	permit
	since     time.Time
	retrialAt time.Time
	delay     time.Duration // after a crash of the next retrial
	lastStart string        // start of the backend server that the latest retrial crashed, "" for none
}

// recordCrash postpones the next retrial after the crash of one, and reports whether that
// crash was not known yet.
func (q *quarantined) recordCrash(c Crash, cfg *Config) bool {
	if !c.Repeated || c.Start == q.lastStart || !c.At.After(q.since) {
		return false
	}
	q.lastStart = c.Start
	q.holder = ""
	q.retrialAt = c.At.Add(q.delay)
	q.delay = min(2*q.delay, cfg.MaxRetrialDelay)
	return true
}
