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
	Granted                        // it may run now; its permit must be returned
	Busy                           // a suspect must wait
	Quarantined                    // it must not run
)

// Verdict is the decision about a request. Wait is the least time until the request may
// run, 0 if that depends on the holder of the permit.
type Verdict struct {
	Kind VerdictKind
	Wait time.Duration
}

// Table decides which requests may run although backend servers have crashed while they
// executed them. A request that was running at a crash is suspect: all calls that run at
// the time are, and only one of them is the cause. Suspects run one at a time, so that a
// request which crashes every server is found out by CrashLimit of them.
//
// Runs that had begun before the request was suspect may all end at one moment, for example
// with a failure domain, so their crashes alone never make up CrashLimit. The crash of a
// later run does not count, once for each suspect, if a server that did not run the request
// crashed at the same moment. A complete answer clears a request, whether it is suspect or
// quarantined. A quarantined request that is not answered runs once after RetrialDelay.
//
// Table is not safe for concurrent use.
type Table struct {
	cfg         Config
	suspects    map[Fingerprint]*suspect
	cleared     map[Fingerprint]time.Time // when a request was last answered completely
	quarantined map[Fingerprint]*quarantined
	recent      []recentCrash
}

// recentCrash is a crash of a backend server, whatever it executed.
type recentCrash struct {
	start string
	at    time.Time
	runs  []Run
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, suspects: map[Fingerprint]*suspect{}, cleared: map[Fingerprint]time.Time{}, quarantined: map[Fingerprint]*quarantined{}}
}

// RecordCrash records that a start of a backend server crashed while it executed the
// requests. It returns those that CrashLimit crashes count against, for which the
// coordinator must call Settle after ReportDelay, and the quarantined ones whose retrial
// crashed.
func (t *Table) RecordCrash(start string, runs []Run, now time.Time) []Fingerprint {
	t.expire(now)
	t.recent = append(t.recent, recentCrash{start, now, runs})
	var due []Fingerprint
	for _, r := range runs {
		c := Crash{Start: start, At: now, Repeated: r.Alone}
		if q := t.quarantined[r.Fingerprint]; q != nil {
			if q.recordCrash(c, &t.cfg) {
				due = append(due, r.Fingerprint)
			}
			continue
		}
		if s := t.suspects[r.Fingerprint]; s != nil {
			c.Repeated = s.startedSuspect(&r, now, t.cfg.ReportDelay)
		}
		t.Merge(r.Fingerprint, []Crash{c})
		if s := t.suspects[r.Fingerprint]; s != nil && len(s.crashes) >= t.cfg.CrashLimit {
			due = append(due, r.Fingerprint)
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
		if s := t.suspects[f]; s != nil {
			s.add(c, t.cfg.CrashLimit-1)
			continue
		}
		t.addSuspect(f, c)
	}
}

// addSuspect adds a suspect with its first crash. If the table is full, the one with the
// fewest crashes leaves, of these the one whose last crash is the oldest.
func (t *Table) addSuspect(f Fingerprint, first Crash) {
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
	t.suspects[f] = &suspect{crashes: []Crash{first}}
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
	t.recent = slices.DeleteFunc(t.recent, func(c recentCrash) bool { return now.Sub(c.at) > 2*t.cfg.ReportDelay })
}

// Settle quarantines a request against which CrashLimit crashes count, once all nodes have
// had the time to report what else crashed. It reports whether the request is quarantined.
func (t *Table) Settle(f Fingerprint, now time.Time) bool {
	s := t.suspects[f]
	if s == nil || len(s.crashes) < t.cfg.CrashLimit || now.Before(s.lastCrash().Add(t.cfg.ReportDelay)) {
		return t.Quarantined(f)
	}
	if c := s.latestRepeated(); s.excused == "" && t.crashedBeside(f, c) {
		s.excuse(c, t.cfg.CrashLimit-1)
		return false
	}
	t.Quarantine(f, now)
	return true
}

// crashedBeside reports whether a server that did not run the request crashed at the same
// moment as one that did.
func (t *Table) crashedBeside(f Fingerprint, c *Crash) bool {
	return slices.ContainsFunc(t.recent, func(r recentCrash) bool {
		ran := slices.ContainsFunc(r.runs, func(run Run) bool { return run.Fingerprint == f })
		return r.start != c.Start && !ran && r.at.Sub(c.At).Abs() <= t.cfg.SameMoment
	})
}

// Quarantine quarantines a request, which may run once after RetrialDelay. A request that
// is quarantined already stays as it is.
func (t *Table) Quarantine(f Fingerprint, now time.Time) {
	t.quarantine(f, now, t.cfg.RetrialDelay)
}

// QuarantineUnproved quarantines a request of which it is not known that it crashed a
// backend server alone. It may run once after RecoveryDelay.
func (t *Table) QuarantineUnproved(f Fingerprint, now time.Time) {
	t.quarantine(f, now, t.cfg.RecoveryDelay)
}

// QuarantineDue quarantines a request that another node wants to retry, because its delay
// there is over. It does nothing if the request was cleared lately.
func (t *Table) QuarantineDue(f Fingerprint, now time.Time) {
	if _, ok := t.cleared[f]; !ok {
		t.quarantine(f, now, 0)
	}
}

// quarantine quarantines a request. If too many are, the one that has been for longest
// leaves.
func (t *Table) quarantine(f Fingerprint, now time.Time, firstRetrial time.Duration) {
	delete(t.suspects, f)
	if t.Quarantined(f) {
		return
	}
	if len(t.quarantined) >= t.cfg.MaxQuarantined {
		var oldest Fingerprint
		for g, q := range t.quarantined {
			if o := t.quarantined[oldest]; o == nil || q.since.Before(o.since) {
				oldest = g
			}
		}
		delete(t.quarantined, oldest)
	}
	delay := t.cfg.RetrialDelay
	if firstRetrial == delay {
		delay = min(2*delay, t.cfg.MaxRetrialDelay)
	}
	t.quarantined[f] = &quarantined{since: now, retrialAt: now.Add(firstRetrial), delay: delay}
}

// SetRetrial sets the time until a quarantined request may run once, as its coordinator has
// it.
func (t *Table) SetRetrial(f Fingerprint, now time.Time, wait time.Duration) {
	if q := t.quarantined[f]; q != nil {
		q.retrialAt = now.Add(wait)
	}
}

// Release ends the quarantine of a request.
func (t *Table) Release(f Fingerprint) { delete(t.quarantined, f) }

// Clear clears a request, because it was answered completely at the given time. Later
// crashes count. Clear reports whether that ended a quarantine.
func (t *Table) Clear(f Fingerprint, at time.Time) bool {
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
	ended := t.Quarantined(f)
	t.Release(f)
	return ended
}

// Empty reports whether every request may run.
func (t *Table) Empty() bool { return len(t.suspects)+len(t.quarantined) == 0 }

// Quarantined reports whether the request is quarantined.
func (t *Table) Quarantined(f Fingerprint) bool { return t.quarantined[f] != nil }

// RetrialIn returns the time until a quarantined request may run once, 0 if it may now.
func (t *Table) RetrialIn(f Fingerprint, now time.Time) time.Duration {
	if q := t.quarantined[f]; q != nil {
		return max(q.retrialAt.Sub(now), 0)
	}
	return 0
}

// Acquire decides for the coordinator of a request whether it may run, and grants the
// permit of a suspect, or of a quarantined request whose delay is over, if nobody holds
// it. holder identifies the attempt.
func (t *Table) Acquire(f Fingerprint, holder string, now time.Time) Verdict {
	t.Settle(f, now)
	if q := t.quarantined[f]; q != nil {
		if wait := q.retrialAt.Sub(now); wait > 0 {
			return Verdict{Kind: Quarantined, Wait: wait}
		}
		if !q.acquire(holder, now, t.cfg.PermitTTL) {
			return Verdict{Kind: Quarantined}
		}
		return Verdict{Kind: Granted}
	}
	s := t.suspects[f]
	if s == nil {
		return Verdict{Kind: Unsuspected}
	}
	if recovered := s.lastCrash().Add(max(t.cfg.RecoveryDelay, t.cfg.ReportDelay)); len(s.crashes) >= t.cfg.CrashLimit-1 && now.Before(recovered) {
		return Verdict{Kind: Busy, Wait: recovered.Sub(now)}
	}
	if !s.acquire(holder, now, t.cfg.PermitTTL) {
		return Verdict{Kind: Busy}
	}
	return Verdict{Kind: Granted}
}

// Return gives a permit back.
func (t *Table) Return(f Fingerprint, holder string) {
	if s := t.suspects[f]; s != nil {
		s.release(holder)
	}
	if q := t.quarantined[f]; q != nil {
		q.release(holder)
	}
}
