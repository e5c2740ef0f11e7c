package call

import "math"

// Announcement is what a backend server says about itself in the head of an answer.
type Announcement struct {
	Instance  string // start of the backend server that answered
	Born      int64  // time of that start in milliseconds since the Unix epoch, 0 if unknown
	RateLimit RateLimit
	Leaving   bool // it accepts no new calls
}

// Notable reports whether the announcement says anything that other nodes must know.
func (a *Announcement) Notable() bool { return a.Leaving || a.RateLimit.Stated }

// RateLimit is the number of requests per second that a backend server accepts from
// all nodes together.
type RateLimit struct {
	Stated    bool    `json:"stated"`     // false: it named no limit
	Malformed bool    `json:"malformed"`  // it named a limit that cannot be read
	PerSecond float64 `json:"per_second"` // 0 or more; valid if Stated
}

// Millis returns the limit in thousandths of requests per second, or -1 without one.
func (l RateLimit) Millis() int64 {
	if !l.Stated {
		return -1
	}
	return int64(min(l.PerSecond*1000, math.MaxInt32))
}
