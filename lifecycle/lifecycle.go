// Package lifecycle orders what a backend server says of itself. Reports may
// arrive late, repeated or after a newer start of the backend server, and then
// must change nothing. The package does no I/O and reads no clock.
package lifecycle

import "time"

// Report is one statement of a backend server.
type Report struct {
	Instance string // id; mostly, not always, new at each start
	Born     int64  // start in milliseconds since 1970, 0 if not told
	Sequence int64  // rises with each report of one start
	Service  string
	Address  string // host:port
	Slots    int    // calls executed at once, 0 if not told
	Draining bool   // takes no new calls
	Cold     time.Duration
}

// sameStart reports whether both come from the same start of a backend server.
func (r *Report) sameStart(o *Report) bool { return r.Instance == o.Instance && r.Born == o.Born }

// Change is what a report changed.
type Change uint8

// Changes.
const (
	Stale   Change = iota // it changes nothing
	Started               // a new start of a backend server takes calls
	Renewed               // the backend server goes on as before
	Ended                 // the backend server takes no more calls
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"stale", "started", "renewed", "ended"}[c]
}

// Tracker follows the backend server at one address. It is not safe for
// concurrent use.
type Tracker struct {
	current Report
	known   bool
	ended   bool
	heard   time.Time

	// Starts of the current instance born up to this time, in milliseconds since
	// 1970, have ended; 0 for none.
	endedBorn int64
}

// Apply orders a report.
func (t *Tracker) Apply(r Report, now time.Time) Change {
	left := t.known && r.Instance == t.current.Instance && r.Born != 0 && r.Born <= t.endedBorn
	switch {
	case !t.known, left:
	case r.sameStart(&t.current):
		if r.Sequence <= t.current.Sequence {
			return Stale
		}
	case t.older(&r):
		return Stale
	}
	fresh := !t.known || !left && !r.sameStart(&t.current)
	ended := t.ended && !fresh // a start that has drained never takes calls again
	if fresh {
		t.endedBorn = 0
	}
	t.known = true
	t.current = r
	t.heard = now
	t.ended = ended || r.Draining
	switch {
	case t.ended && ended:
		return Renewed
	case t.ended:
		return Ended
	case fresh:
		return Started
	}
	return Renewed
}

// older reports whether a report of another start than the current one comes
// from an earlier one. Without a time of birth the newest to arrive counts.
func (t *Tracker) older(r *Report) bool {
	return r.Born != 0 && t.current.Born != 0 && r.Born < t.current.Born
}

// Leave takes the statement that a start of the backend server takes no more
// calls; born is 0 if it was not told.
func (t *Tracker) Leave(instance string, born int64, now time.Time) Change {
	if t.known && (instance != t.current.Instance || born != 0 && t.current.Born != 0 && born < t.current.Born) {
		return Stale
	}
	if !t.known {
		// The start that leaves was born before it said so.
		t.current = Report{Instance: instance}
		t.endedBorn = born
		if born == 0 {
			t.endedBorn = now.UnixMilli()
		}
		t.known = true
	}
	if t.ended {
		return Renewed
	}
	t.ended = true
	t.heard = now
	return Ended
}

// Silent reports whether a backend server that takes calls has said nothing for
// longer than limit.
func (t *Tracker) Silent(limit time.Duration, now time.Time) bool {
	return t.Serving() && now.Sub(t.heard) > limit
}

// Serving reports whether the backend server takes calls.
func (t *Tracker) Serving() bool { return t.known && !t.ended }

// LastEnded returns the instance that takes no more calls and the latest time of
// birth, in milliseconds since 1970, for which that holds. It is meaningful after a
// change to Ended.
func (t *Tracker) LastEnded() (instance string, born int64) {
	return t.current.Instance, max(t.endedBorn, t.current.Born)
}

// Current returns the latest report.
func (t *Tracker) Current() Report { return t.current }
