package quarantine

import (
	"slices"
	"time"
)

// Crash is the crash of one start of a backend server while it executed a request.
type Crash struct {
	Start    string
	At       time.Time
	Repeated bool // the run had begun when the request was suspect
}

// Run is a request that a backend server was executing when it crashed.
type Run struct {
	Fingerprint Fingerprint
	Alone       bool          // it ran under a permit, and no other run of it was at the same backend server
	Age         time.Duration // since it began
}

// String returns the form used in logs.
func (r Run) String() string {
	if r.Alone {
		return r.Fingerprint.String() + ":alone"
	}
	return r.Fingerprint.String()
}

// suspect is a request that was running when a backend server crashed.
type suspect struct {
	permit
	crashes []Crash // of distinct starts, at least one
	excused string  // start whose crash had another reason, "" for none
}

// add adds a crash, or what another node adds to a known one. At most mostUnrepeated crashes
// that are not repeated count, the latest ones.
func (s *suspect) add(c Crash, mostUnrepeated int) {
	c.Repeated = c.Repeated && c.Start != s.excused
	if i := slices.IndexFunc(s.crashes, func(known Crash) bool { return known.Start == c.Start }); i >= 0 {
		s.crashes[i].Repeated = s.crashes[i].Repeated || c.Repeated
		return
	}
	s.crashes = append(s.crashes, c)
	if c.Repeated {
		s.holder = "" // most likely this run held the permit
	}
	s.dropUnrepeated(mostUnrepeated)
}

// dropUnrepeated drops the oldest crashes that are not repeated until most are left.
func (s *suspect) dropUnrepeated(most int) {
	unrepeated, oldest := 0, -1
	for i, c := range s.crashes {
		if c.Repeated {
			continue
		}
		unrepeated++
		if oldest < 0 || c.At.Before(s.crashes[oldest].At) {
			oldest = i
		}
	}
	if unrepeated > most {
		s.crashes = slices.Delete(s.crashes, oldest, oldest+1)
	}
}

// latestRepeated returns the latest crash of a run that had begun when the request was
// suspect, or nil if there is none.
func (s *suspect) latestRepeated() *Crash {
	var latest *Crash
	for i := range s.crashes {
		if c := &s.crashes[i]; c.Repeated && (latest == nil || c.At.After(latest.At)) {
			latest = c
		}
	}
	return latest
}

// excuse lets a crash count no longer as repeated.
func (s *suspect) excuse(c *Crash, mostUnrepeated int) {
	s.excused = c.Start
	c.Repeated = false
	s.dropUnrepeated(mostUnrepeated)
}

// startedSuspect reports whether a run that crashed now had begun when the request was
// suspect. A node that was not told of it, for example because it was restarted, runs it
// without a permit.
func (s *suspect) startedSuspect(r *Run, now time.Time, reportDelay time.Duration) bool {
	return r.Alone || now.Add(-r.Age).After(s.lastCrash().Add(reportDelay))
}

// lastCrash returns the time of the latest crash.
func (s *suspect) lastCrash() time.Time {
	last := s.crashes[0].At
	for _, c := range s.crashes[1:] {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}
