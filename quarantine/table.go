package quarantine

import (
	"slices"
	"time"
)

// VerdictKind says whether a request may run.
type VerdictKind uint8

// Verdicts about a request.
const (
	Unsuspected VerdictKind = iota // it may run
	Granted                        // a suspect may run now; its permit must be returned
	Busy                           // a suspect must wait
	Quarantined                    // it must not run
)

// Verdict is the decision about a request. With Busy, Wait is the least time until the
// request may run, 0 if that depends on the holder of the permit.
type Verdict struct {
	Kind VerdictKind
	Wait time.Duration
}

// Table counts the distinct starts of backend servers that crashed while they executed
// the same request. A request that was running at a crash is suspect: all calls that run
// at the time are, and only one of them is the cause. Suspects run one at a time, so that
// a request which crashes every server is found out by CrashLimit of them. A complete
// answer clears a suspect. Table is not safe for concurrent use.
type Table struct {
	cfg         Config
	suspects    map[Fingerprint]*suspect
	cleared     map[Fingerprint]time.Time // when a suspect was last answered completely
	quarantined map[Fingerprint]time.Time // when it was quarantined
}

// Crash is the crash of one start of a backend server.
type Crash struct {
	Start string
	At    time.Time
}

// suspect is a request that was running when a backend server crashed.
type suspect struct {
	crashes     []Crash // of distinct starts, at least one
	holder      string  // of the permit, "" if nobody holds it
	permitUntil time.Time
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

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, suspects: map[Fingerprint]*suspect{}, cleared: map[Fingerprint]time.Time{}, quarantined: map[Fingerprint]time.Time{}}
}

// RecordCrash records that a start of a backend server crashed while it executed the
// requests, and returns those that CrashLimit of them have crashed under. Their
// coordinator quarantines them.
func (t *Table) RecordCrash(start string, requests []Fingerprint, now time.Time) []Fingerprint {
	t.expire(now)
	var due []Fingerprint
	for _, f := range requests {
		t.Merge(f, []Crash{{start, now}})
		if s := t.suspects[f]; s != nil && len(s.crashes) >= t.cfg.CrashLimit {
			due = append(due, f)
		}
	}
	return due
}

// Known returns the crashes that count against a suspect request.
func (t *Table) Known(f Fingerprint) []Crash {
	if s := t.suspects[f]; s != nil {
		return s.crashes
	}
	return nil
}

// Merge adds crashes that another node knows of. Those from before the request was
// cleared do not count.
func (t *Table) Merge(f Fingerprint, crashes []Crash) {
	if t.Quarantined(f) {
		return
	}
	for _, c := range crashes {
		if !c.At.After(t.cleared[f]) {
			continue
		}
		s := t.suspects[f]
		if s == nil {
			s = t.add(f, c)
		}
		if !slices.ContainsFunc(s.crashes, func(known Crash) bool { return known.Start == c.Start }) {
			s.crashes = append(s.crashes, c)
			s.holder = ""
		}
	}
}

// add adds a suspect with its first crash. If the table is full, the one with the fewest
// crashes leaves, of these the one whose last crash is the oldest.
func (t *Table) add(f Fingerprint, first Crash) *suspect {
	if len(t.suspects) >= t.cfg.MaxSuspects {
		var least Fingerprint
		var leaving *suspect
		for g, s := range t.suspects {
			if leaving == nil || len(s.crashes) < len(leaving.crashes) || len(s.crashes) == len(leaving.crashes) && s.lastCrash().Before(leaving.lastCrash()) {
				least, leaving = g, s
			}
		}
		delete(t.suspects, least)
	}
	s := &suspect{crashes: []Crash{first}}
	t.suspects[f] = s
	return s
}

// expire forgets suspects that did not come again.
func (t *Table) expire(now time.Time) {
	for f, s := range t.suspects {
		if now.Sub(s.lastCrash()) > t.cfg.SuspectTTL {
			delete(t.suspects, f)
		}
	}
	for f, at := range t.cleared {
		if now.Sub(at) > t.cfg.SuspectTTL {
			delete(t.cleared, f)
		}
	}
}

// Quarantine quarantines a request. If too many are, the one that has been for longest
// leaves.
func (t *Table) Quarantine(f Fingerprint, now time.Time) {
	delete(t.suspects, f)
	if _, ok := t.quarantined[f]; ok {
		return
	}
	if len(t.quarantined) >= t.cfg.MaxQuarantined {
		var oldest Fingerprint
		for g, since := range t.quarantined {
			if _, ok := t.quarantined[oldest]; !ok || since.Before(t.quarantined[oldest]) {
				oldest = g
			}
		}
		delete(t.quarantined, oldest)
	}
	t.quarantined[f] = now
}

// Release ends the quarantine of a request.
func (t *Table) Release(f Fingerprint) { delete(t.quarantined, f) }

// Clear clears a suspect, because the request was answered completely at the given time.
// Later crashes count.
func (t *Table) Clear(f Fingerprint, at time.Time) {
	if s := t.suspects[f]; s != nil {
		s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.At.After(at) })
		if len(s.crashes) == 0 {
			delete(t.suspects, f)
		}
	}
	if len(t.cleared) >= t.cfg.MaxSuspects {
		clear(t.cleared)
	}
	if at.After(t.cleared[f]) {
		t.cleared[f] = at
	}
}

// Empty reports whether every request may run.
func (t *Table) Empty() bool { return len(t.suspects)+len(t.quarantined) == 0 }

// Quarantined reports whether the request must not run.
func (t *Table) Quarantined(f Fingerprint) bool {
	_, ok := t.quarantined[f]
	return ok
}

// Acquire decides for the coordinator of a request whether it may run, and grants a
// suspect the permit to run if nobody holds it. A request with CrashLimit crashes is
// quarantined. holder identifies the attempt.
func (t *Table) Acquire(f Fingerprint, holder string, now time.Time) Verdict {
	s := t.suspects[f]
	if s != nil && len(s.crashes) >= t.cfg.CrashLimit {
		t.Quarantine(f, now)
	}
	switch {
	case t.Quarantined(f):
		return Verdict{Kind: Quarantined}
	case s == nil:
		return Verdict{Kind: Unsuspected}
	}
	if s.holder != "" && s.holder != holder && now.Before(s.permitUntil) {
		return Verdict{Kind: Busy}
	}
	if recovered := s.lastCrash().Add(t.cfg.RecoveryDelay); len(s.crashes) >= t.cfg.CrashLimit-1 && now.Before(recovered) {
		return Verdict{Kind: Busy, Wait: recovered.Sub(now)}
	}
	s.holder = holder
	s.permitUntil = now.Add(t.cfg.PermitTTL)
	return Verdict{Kind: Granted}
}

// Return gives a permit back.
func (t *Table) Return(f Fingerprint, holder string) {
	if s := t.suspects[f]; s != nil && s.holder == holder {
		s.holder = ""
	}
}
