// Package lifecycle orders the reports of a backend server about itself. A report
// that arrives late, twice, or after one of a newer start must change nothing. The
// package does no I/O and reads no clock.
package lifecycle

import "time"

// Report is one report of a backend server about its state.
type Report struct {
	Instance string // instance ID, usually but not always new at each start
	Born     int64  // start time in milliseconds since the Unix epoch, 0 if not reported
	Sequence int64  // increases with each report of one start
	Service  string
	Address  string        // host:port
	Slots    int           // calls that the backend server executes concurrently, 0 if not reported
	Draining bool          // accepts no new calls
	Cold     time.Duration // how much longer it is slow after its start, 0 if not reported

	// Foreign says that the report names another service than the settings of the node. Such a
	// backend server may only take the place of one that is gone.
	Foreign bool
}

// sameStart reports whether both reports come from the same start of a backend
// server.
func (r *Report) sameStart(o *Report) bool { return r.Instance == o.Instance && r.Born == o.Born }

// Change is the effect of a report.
type Change uint8

// Effects of a report.
const (
	Stale   Change = iota // none: the report is outdated or repeated
	Started               // a new start of a backend server accepts calls
	Renewed               // the backend server continues as before
	Ended                 // the backend server accepts no more calls
)

// String returns the name used in logs.
func (c Change) String() string {
	return [...]string{"stale", "started", "renewed", "ended"}[c]
}

// Tracker follows the backend server at one address. It is not safe for
// concurrent use.
type Tracker struct {
	current   Report
	known     bool // a report or a departure has been recorded
	ended     bool // the current start accepts no more calls
	lapsed    bool // the current start has sent no report in time
	lastHeard time.Time

	// The last report of a start that an outdated report has displaced, while lapsed.
	displaced Report

	// All starts of an instance up to this time, in milliseconds since the Unix epoch, have
	// ended. Instances are kept when another one has replaced them, because their reports
	// may still arrive.
	endedBorn map[string]int64
}

// maxEndedInstances bounds the memory. Far fewer backend servers than that follow each other
// at one address while a report is on its way.
const maxEndedInstances = 64

// Apply processes a report and returns its effect. An outdated report has none, unless the
// current start has lapsed and the one that it has displaced goes on reporting.
func (t *Tracker) Apply(r Report, now time.Time) Change {
	startEnded := r.Born != 0 && r.Born <= t.endedBorn[r.Instance]
	switch {
	case r.Foreign && !t.current.Foreign && (t.Serving() || r.Draining):
		return Stale
	case !t.known: // the first report is recorded
	case startEnded && r.Instance != t.current.Instance:
		return Stale // another backend server has replaced the one that left
	case t.outdated(&r) && (startEnded || !t.goesOn(&r)):
		return Stale
	}
	newStart := !t.known || !startEnded && !r.sameStart(&t.current)
	ended := t.ended && !newStart // a start that has drained never accepts calls again
	if r.Draining {
		t.recordEnd(r.Instance, r.Born)
	}
	t.known = true
	t.current = r
	t.lapsed, t.displaced = false, Report{}
	t.lastHeard = now
	t.ended = ended || r.Draining
	switch {
	case t.ended && ended:
		return Renewed
	case t.ended:
		return Ended
	case newStart:
		return Started
	}
	return Renewed
}

// outdated reports whether r comes from an earlier start than the current one, or is an
// earlier report of it. A start of the service of the node is newer than any foreign one.
func (t *Tracker) outdated(r *Report) bool {
	switch {
	case t.current.Foreign && !r.Foreign:
		return false
	case r.sameStart(&t.current):
		return r.Sequence <= t.current.Sequence
	}
	return t.older(r)
}

// goesOn reports whether an outdated report is at least the second one of its start since
// the current one has lapsed. A single one may have been held back by the network.
func (t *Tracker) goesOn(r *Report) bool {
	if !t.lapsed {
		return false
	}
	last := t.displaced
	t.displaced = *r
	return last.sameStart(r) && r.Sequence > last.Sequence
}

// Lapse records that the current start has sent no report in time. It does not serve until
// its next report.
func (t *Tracker) Lapse() { t.lapsed = true }

// older reports whether r, a report of another start, comes from an earlier start
// than the current one. If the time of either start is unknown, the latest report
// to arrive wins.
func (t *Tracker) older(r *Report) bool {
	return r.Born != 0 && t.current.Born != 0 && r.Born < t.current.Born
}

// Leave records that a start of the backend server accepts no more calls. born is
// the start time in milliseconds since the Unix epoch, 0 if not reported. It returns Stale
// if another start accepts calls, or a later one has ended.
func (t *Tracker) Leave(instance string, born int64, now time.Time) Change {
	other := t.known && instance != t.current.Instance
	if !other && t.known && born != 0 && t.current.Born != 0 && born < t.current.Born {
		return Stale
	}
	if born == 0 && (other || !t.known) {
		born = now.UnixMilli() // the start was at or before now
	}
	t.recordEnd(instance, born)
	if _, last := t.LastEnded(); other && (!t.ended || born < last) {
		return Stale
	}
	if other || !t.known {
		t.current = Report{Instance: instance}
		t.known = true
	}
	if t.ended {
		return Renewed
	}
	t.ended = true
	t.lastHeard = now
	return Ended
}

// recordEnd records that the starts of an instance up to born accept no more calls, so that
// no late report of one of them counts as a new start.
func (t *Tracker) recordEnd(instance string, born int64) {
	if t.endedBorn == nil {
		t.endedBorn = map[string]int64{}
	}
	t.endedBorn[instance] = max(t.endedBorn[instance], born)
	if len(t.endedBorn) <= maxEndedInstances {
		return
	}
	oldest := instance
	for other, b := range t.endedBorn {
		if b < t.endedBorn[oldest] {
			oldest = other
		}
	}
	delete(t.endedBorn, oldest)
}

// Silent reports whether a backend server that accepts calls has sent no report
// for longer than limit.
func (t *Tracker) Silent(limit time.Duration, now time.Time) bool {
	return t.Serving() && now.Sub(t.lastHeard) > limit
}

// Serving reports whether the backend server accepts calls.
func (t *Tracker) Serving() bool { return t.known && !t.ended && !t.lapsed }

// Ended reports whether the current start accepts no more calls.
func (t *Tracker) Ended() bool { return t.known && t.ended }

// LastEnded returns the instance that accepts no more calls and the time, in
// milliseconds since the Unix epoch, up to which its starts have ended. It is valid
// after a change to Ended.
func (t *Tracker) LastEnded() (instance string, born int64) {
	return t.current.Instance, max(t.endedBorn[t.current.Instance], t.current.Born)
}

// Current returns the latest report.
func (t *Tracker) Current() Report { return t.current }
