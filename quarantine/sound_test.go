package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// soundRequest is a model of a request that crashes nothing. Clients send it at a steady
// rate to the servers of one service, which crash for another reason.
type soundRequest struct {
	table   *Table
	servers []modelServer
	work    time.Duration // of one run
	served  int
	refused int
}

type modelServer struct {
	start  int
	backAt time.Time
	runs   []modelRun
}

type modelRun struct {
	begun  time.Time
	alone  bool
	holder string
}

const (
	modelStep    = 10 * time.Millisecond
	modelRestart = time.Second
)

// crash ends a server with its runs.
func (m *soundRequest) crash(i int, now time.Time) {
	s := &m.servers[i]
	if now.Before(s.backAt) {
		return
	}
	s.start++
	s.backAt = now.Add(modelRestart)
	other := Run{Fingerprint: Fingerprint(1000 + i)} // a server with no running call is not seen to crash
	if len(s.runs) == 0 {
		m.table.RecordCrash(fmt.Sprint(i, "-", s.start), []Run{other}, now)
		return
	}
	run := Run{Fingerprint: killer, Alone: true}
	for _, r := range s.runs {
		run.Alone = run.Alone && r.alone
		run.Age = max(run.Age, now.Sub(r.begun))
	}
	s.runs = nil
	m.table.RecordCrash(fmt.Sprint(i, "-", s.start), []Run{run, other}, now)
}

// finish answers the runs that have lasted long enough.
func (m *soundRequest) finish(now time.Time) {
	for i := range m.servers {
		s := &m.servers[i]
		var left []modelRun
		for _, r := range s.runs {
			if now.Sub(r.begun) < m.work {
				left = append(left, r)
				continue
			}
			m.served++
			m.table.Clear(killer, now.Add(-modelStep/2)) // before a crash of this step
			m.table.Return(killer, r.holder)
		}
		s.runs = left
	}
}

// send sends the request to the next server that is up.
func (m *soundRequest) send(n int, now time.Time) {
	for k := range m.servers {
		s := &m.servers[(n+k)%len(m.servers)]
		if now.Before(s.backAt) {
			continue
		}
		holder := fmt.Sprint("attempt-", n)
		switch v := m.table.Acquire(killer, holder, now); v.Kind {
		case Unsuspected, Granted:
			s.runs = append(s.runs, modelRun{begun: now, alone: v.Kind == Granted, holder: holder})
		default:
			m.refused++
		}
		return
	}
	m.refused++
}

// TestSoundRequestComesBack crashes servers that run a sound request which many clients
// send. Crashes of one moment and of runs from before it was suspect must not add up to a
// quarantine; 10 s after the last crash every request must be served again.
func TestSoundRequestComesBack(t *testing.T) {
	const ms = time.Millisecond
	zone := []int{0, 1, 2}
	all := []int{0, 1, 2, 3, 4, 5}
	type crash struct {
		at      time.Duration
		servers []int
	}
	apart := func(gap time.Duration) []crash {
		var list []crash
		for i := range 5 {
			list = append(list, crash{time.Duration(i) * gap, []int{i}})
		}
		return list
	}
	for name, crashes := range map[string][]crash{
		"a zone at once":                             {{0, zone}},
		"all servers at once":                        {{0, all}},
		"the same servers twice":                     {{0, zone}, {1500 * ms, zone}},
		"all servers twice":                          {{0, all}, {1500 * ms, all}},
		"all servers, and again under the run alone": {{0, all}, {3200 * ms, all}},
		"60 ms apart":                                apart(60 * ms),
		"300 ms apart":                               apart(300 * ms),
		"a zone after the other":                     {{0, zone}, {300 * ms, []int{3, 4, 5}}},
		"another one in a minute":                    {{0, zone}, {60 * time.Second, zone}, {120 * time.Second, zone}, {180 * time.Second, zone}},
		"a server again and again":                   {{0, zone[:1]}, {1200 * ms, zone[:1]}, {2400 * ms, zone[:1]}, {3600 * ms, zone[:1]}, {4800 * ms, zone[:1]}},
	} {
		for _, work := range []time.Duration{20 * ms, 400 * ms, 4 * time.Second} {
			t.Run(fmt.Sprint(name, "/", work), func(t *testing.T) {
				m := &soundRequest{table: New(DefaultConfig()), servers: make([]modelServer, 6), work: work}
				start := epoch.Add(10 * time.Second)
				last := crashes[len(crashes)-1].at
				next := 0
				for now, n := epoch, 0; now.Before(start.Add(last + 20*time.Second)); now = now.Add(modelStep) {
					m.finish(now)
					for next < len(crashes) && !now.Before(start.Add(crashes[next].at)) {
						for _, i := range crashes[next].servers {
							m.crash(i, now)
						}
						next++
					}
					if now.Equal(start.Add(last + 10*time.Second)) {
						m.served, m.refused = 0, 0
					}
					m.send(n, now)
					n++
				}
				if m.refused > 0 || m.served == 0 || m.table.Quarantined(killer) {
					t.Errorf("%d of %d requests refused, quarantined %v", m.refused, m.served+m.refused, m.table.Quarantined(killer))
				}
			})
		}
	}
}

// TestRequestIsFoundOutByNodesThatDoNotKnow runs a request that crashes each server at
// nodes that were restarted and know of no crash. The runs have no permit, but began long
// after the request was suspect.
func TestRequestIsFoundOutByNodesThatDoNotKnow(t *testing.T) {
	table := New(DefaultConfig())
	now := epoch
	crashes := 0
	for ; !table.Quarantined(killer) && crashes < 10; crashes++ {
		table.RecordCrash(fmt.Sprint("s", crashes), []Run{{Fingerprint: killer, Age: runTime}}, now)
		now = now.Add(table.cfg.ReportDelay + 2*runTime)
		table.Settle(killer, now)
	}
	if crashes != table.cfg.CrashLimit {
		t.Errorf("quarantined after %d crashes", crashes)
	}
}

// TestCopiesThatRunAtTheFirstCrash lets two copies of a request that crashes each server
// run before the first crash is known. It must end no more servers than a single one.
func TestCopiesThatRunAtTheFirstCrash(t *testing.T) {
	table := New(DefaultConfig())
	now := epoch
	for i := range 2 {
		table.RecordCrash(fmt.Sprint("copy", i), []Run{{Fingerprint: killer, Age: runTime}}, now.Add(time.Duration(i)*runTime/2))
	}
	crashes := 2
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(modelStep) {
		if table.Acquire(killer, "x", now).Kind <= Granted {
			crashes++
			table.RecordCrash(fmt.Sprint("s", crashes), []Run{{Fingerprint: killer, Alone: true, Age: runTime}}, now.Add(runTime))
		}
	}
	if crashes != table.cfg.CrashLimit {
		t.Errorf("%d servers crashed", crashes)
	}
}

// TestQuarantineIsRetriedRarely sends a request that crashes each server for a month. The
// retrials must become rarer, and only one attempt may run at each.
func TestQuarantineIsRetriedRarely(t *testing.T) {
	table := New(DefaultConfig())
	crashes := 0
	for now := epoch; now.Before(epoch.Add(30 * 24 * time.Hour)); now = now.Add(5 * time.Second) {
		if v := table.Acquire(killer, "first", now); v.Kind > Granted {
			continue
		}
		if v := table.Acquire(killer, "second", now); crashes > 0 && v.Kind <= Granted {
			t.Fatalf("two attempts run at the same time: %+v", v)
		}
		table.RecordCrash(fmt.Sprint("s", crashes), []Run{{Fingerprint: killer, Alone: crashes > 0}}, now)
		crashes++
	}
	// 8 retrials until the delay of 10 minutes, doubled each time, reaches a day; then one a day.
	if most := table.cfg.CrashLimit + 8 + 30; crashes > most {
		t.Errorf("%d servers crashed in 30 days, at most %d allowed", crashes, most)
	}
}

// TestAnswerEndsAQuarantine quarantines a request, and answers one that had begun before,
// or its retrial. It must run freely again.
func TestAnswerEndsAQuarantine(t *testing.T) {
	table := New(DefaultConfig())
	table.Quarantine(killer, epoch)
	if !table.Clear(killer, epoch.Add(time.Second)) || table.Acquire(killer, "x", epoch.Add(time.Second)).Kind != Unsuspected {
		t.Error("quarantined after an answer")
	}
	retrial := epoch.Add(time.Minute)
	table.QuarantineUnproved(killer, retrial)
	if v := table.Acquire(killer, "x", retrial); v.Kind != Quarantined || v.Wait != table.cfg.RecoveryDelay {
		t.Errorf("before the retrial: %+v", v)
	}
	retrial = retrial.Add(table.cfg.RecoveryDelay)
	if v := table.Acquire(killer, "x", retrial); v.Kind != Granted {
		t.Errorf("retrial: %+v", v)
	}
	table.Clear(killer, retrial)
	if !table.Empty() {
		t.Error("quarantined after the answer of the retrial")
	}
}
