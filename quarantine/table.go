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

// suspect is a request that was running when a backend server crashed.
type suspect struct {
	History
	holder      string // of the permit, "" if nobody holds it
	permitUntil time.Time
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, suspects: map[Fingerprint]*suspect{}, cleared: map[Fingerprint]time.Time{}, quarantined: map[Fingerprint]time.Time{}}
}

// RecordCrash records that a start of a backend server crashed while it executed the
// requests, and returns those that are quarantined from now on.
func (t *Table) RecordCrash(start string, requests []Fingerprint, now time.Time) []Fingerprint {
	t.expire(now)
	var found []Fingerprint
	for _, f := range requests {
		if t.Merge(f, History{Starts: []string{start}, LastCrash: now}, now) {
			found = append(found, f)
		}
	}
	return found
}

// History is what is known of a suspect request.
type History struct {
	Starts    []string // distinct starts of backend servers that crashed while they executed it
	LastCrash time.Time
}

// History returns what is known of a suspect request. It is empty for others.
func (t *Table) History(f Fingerprint) History {
	if s := t.suspects[f]; s != nil {
		return s.History
	}
	return History{}
}

// Merge adds what another node knows of a request, and reports whether the request is
// quarantined from now on. Crashes from before the request was cleared do not count.
func (t *Table) Merge(f Fingerprint, h History, now time.Time) bool {
	if _, ok := t.quarantined[f]; ok || len(h.Starts) == 0 || !h.LastCrash.After(t.cleared[f]) {
		return false
	}
	s := t.suspects[f]
	if s == nil {
		s = t.add(f)
	}
	for _, start := range h.Starts {
		if slices.Contains(s.Starts, start) {
			continue
		}
		s.Starts = append(s.Starts, start)
		s.holder = ""
		if h.LastCrash.After(s.LastCrash) {
			s.LastCrash = h.LastCrash
		}
	}
	if len(s.Starts) < t.cfg.CrashLimit {
		return false
	}
	t.Quarantine(f, now)
	return true
}

// add adds a suspect. If the table is full, the one with the fewest crashes leaves, of
// these the one whose last crash is the oldest.
func (t *Table) add(f Fingerprint) *suspect {
	if len(t.suspects) >= t.cfg.MaxSuspects {
		var least Fingerprint
		var leaving *suspect
		for g, s := range t.suspects {
			if leaving == nil || len(s.Starts) < len(leaving.Starts) || len(s.Starts) == len(leaving.Starts) && s.LastCrash.Before(leaving.LastCrash) {
				least, leaving = g, s
			}
		}
		delete(t.suspects, least)
	}
	s := &suspect{}
	t.suspects[f] = s
	return s
}

// expire forgets suspects that did not come again.
func (t *Table) expire(now time.Time) {
	for f, s := range t.suspects {
		if now.Sub(s.LastCrash) > t.cfg.SuspectTTL {
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
	if s := t.suspects[f]; s != nil && !s.LastCrash.After(at) {
		delete(t.suspects, f)
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

// Crashes returns how many backend servers are known to have crashed while they executed
// the request, at most CrashLimit.
func (t *Table) Crashes(f Fingerprint) int {
	if _, ok := t.quarantined[f]; ok {
		return t.cfg.CrashLimit
	}
	if s := t.suspects[f]; s != nil {
		return len(s.Starts)
	}
	return 0
}

// Acquire decides whether a request may run, and grants a suspect the permit to run if
// nobody holds it. holder identifies the attempt.
func (t *Table) Acquire(f Fingerprint, holder string, now time.Time) Verdict {
	if _, ok := t.quarantined[f]; ok {
		return Verdict{Kind: Quarantined}
	}
	s := t.suspects[f]
	if s == nil {
		return Verdict{Kind: Unsuspected}
	}
	if s.holder != "" && s.holder != holder && now.Before(s.permitUntil) {
		return Verdict{Kind: Busy}
	}
	if recovered := s.LastCrash.Add(t.cfg.RecoveryDelay); len(s.Starts) >= t.cfg.CrashLimit-1 && now.Before(recovered) {
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
