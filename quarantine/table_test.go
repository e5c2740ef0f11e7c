package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a model of a service whose servers crash when they run one request. Each
// node has a table; reports reach the others after a delay.
type fleet struct {
	now         time.Time
	coordinator *Table
	servers     int
	starts      []int       // of each server
	backAt      []time.Time // when each server is up again
	crashes     int
}

const (
	runTime  = 100 * time.Millisecond // until the request crashes its server
	downTime = 1500 * time.Millisecond
	killer   = Fingerprint(1)
)

// run sends the killer at time now if the table allows it, and reports whether it ran.
func (f *fleet) run(holder string, rng *rand.Rand) bool {
	verdict := f.coordinator.Acquire(killer, holder, f.now).Kind
	if verdict > Granted {
		return false
	}
	up := slices.IndexFunc(f.backAt, func(at time.Time) bool { return !at.After(f.now) })
	if up < 0 {
		f.coordinator.Return(killer, holder)
		return false
	}
	server := up
	for range f.servers {
		if i := rng.IntN(f.servers); !f.backAt[i].After(f.now) {
			server = i
			break
		}
	}
	f.now = f.now.Add(runTime)
	f.crashes++
	f.starts[server]++
	f.backAt[server] = f.now.Add(downTime)
	f.coordinator.RecordCrash(fmt.Sprintf("s%d-%d", server, f.starts[server]), []Run{
		{Fingerprint: killer, Alone: verdict == Granted, Age: runTime}, {Fingerprint: Fingerprint(100 + f.crashes), Age: runTime},
	}, f.now)
	return true
}

// TestRequestThatComesAgainEndsThreeServers sends a request that crashes each server that
// runs it, at all moments of a minute. It must end exactly CrashLimit servers, and never
// more than two may be down at the same time.
func TestRequestThatComesAgainEndsThreeServers(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := &fleet{now: epoch, coordinator: New(DefaultConfig()), servers: 6, starts: make([]int, 6), backAt: make([]time.Time, 6)}
		mostDown := 0
		for i := 0; f.now.Sub(epoch) < time.Minute; i++ {
			f.run(fmt.Sprint(i), rng)
			down := 0
			for _, at := range f.backAt {
				if at.After(f.now) {
					down++
				}
			}
			mostDown = max(mostDown, down)
			f.now = f.now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		if f.crashes != f.coordinator.cfg.CrashLimit || mostDown > 2 {
			t.Errorf("seed %d: %d servers crashed, up to %d down at a time", seed, f.crashes, mostDown)
		}
	}
}

// TestSuspectsRunOneAtATime grants and returns permits at random. Two holders must never
// have a valid permit for the same request.
func TestSuspectsRunOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(DefaultConfig())
		now := epoch
		table.RecordCrash("a", []Run{{Fingerprint: killer}}, now)
		holder, until := "", time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder")
			if rapid.Bool().Draw(t, "return") {
				table.Return(killer, name)
				if name == holder {
					holder = ""
				}
				continue
			}
			v := table.Acquire(killer, name, now)
			if v.Kind == Granted {
				if holder != "" && holder != name && now.Before(until) {
					t.Fatalf("%s runs while %s holds the permit", name, holder)
				}
				holder, until = name, now.Add(table.cfg.PermitTTL)
			} else if holder == "" || holder == name || !now.Before(until) {
				t.Fatalf("%s waits although nobody else holds the permit: %+v", name, v)
			}
		}
	})
}

// TestInnocentRequestsAreCleared crashes servers that run a killer and many other
// requests. The others run again, are answered and cleared; none may be quarantined.
func TestInnocentRequestsAreCleared(t *testing.T) {
	table := New(DefaultConfig())
	now := epoch
	for crash := range 3 {
		runs := []Run{{Fingerprint: killer, Alone: crash > 0}}
		for i := range 30 {
			runs = append(runs, Run{Fingerprint: Fingerprint(1000*(crash+1) + i)})
		}
		due := table.RecordCrash(fmt.Sprint("s", crash), runs, now)
		for _, r := range runs[1:] {
			f := r.Fingerprint
			if v := table.Acquire(f, "x", now); v.Kind != Granted {
				t.Fatalf("a request that ran at one crash may not run again: %+v", v)
			}
			table.Clear(f, now)
			if v := table.Acquire(f, "y", now); v.Kind != Unsuspected {
				t.Fatalf("a request that was answered is still suspect: %+v", v)
			}
		}
		if want := crash == 2; slices.Contains(due, killer) != want || len(due) > 1 {
			t.Errorf("crash %d: to be quarantined %v", crash+1, due)
		}
		now = now.Add(table.cfg.RecoveryDelay)
	}
	if v := table.Acquire(killer, "x", now.Add(table.cfg.RetrialDelay-time.Second)); v.Kind != Quarantined {
		t.Errorf("the quarantine ended too early: %+v", v)
	}
}

// TestCrashesOfOneServerCountOnce reports the crash of one start several times, as
// several nodes may.
func TestCrashesOfOneServerCountOnce(t *testing.T) {
	table := New(DefaultConfig())
	for range 5 {
		table.RecordCrash("s1", []Run{{Fingerprint: killer, Alone: true}}, epoch)
		table.Merge(killer, []Crash{{Start: "s1", At: epoch}})
	}
	if n := len(table.Known(killer)); n != 1 {
		t.Errorf("%d crashes", n)
	}
}

// TestHistoriesMergeInAnyOrder lets nodes that saw different crashes exchange what they
// know. A node that joined later must not forget any of it.
func TestHistoriesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.CrashLimit = 10
		tables := []*Table{New(cfg), New(cfg), New(cfg)}
		seen := map[string]bool{}
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			start := fmt.Sprint("s", i)
			seen[start] = true
			tables[rapid.IntRange(0, 2).Draw(t, "node")].RecordCrash(start, []Run{{Fingerprint: killer, Alone: true}}, epoch)
		}
		order := rapid.Permutation([]int{0, 1, 2, 0, 1, 2}).Draw(t, "order")
		last := New(cfg)
		for _, i := range order {
			last.Merge(killer, tables[i].Known(killer))
		}
		if len(last.Known(killer)) != len(seen) {
			t.Fatalf("%d of %d crashes known", len(last.Known(killer)), len(seen))
		}
	})
}

// TestTableIsBounded fills the table. The requests with most crashes must stay.
func TestTableIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxSuspects, cfg.MaxQuarantined = 50, 10
	table := New(cfg)
	table.RecordCrash("a", []Run{{Fingerprint: killer}}, epoch)
	table.RecordCrash("b", []Run{{Fingerprint: killer, Alone: true}}, epoch)
	for i := range 500 {
		at := epoch.Add(time.Duration(i) * time.Millisecond)
		table.RecordCrash(fmt.Sprint("c", i), []Run{{Fingerprint: Fingerprint(1000 + i)}}, at)
		table.Quarantine(Fingerprint(5000+i), at)
	}
	if len(table.suspects) > cfg.MaxSuspects || len(table.quarantined) > cfg.MaxQuarantined {
		t.Errorf("%d suspects, %d quarantined", len(table.suspects), len(table.quarantined))
	}
	if len(table.Known(killer)) != 2 || !table.Quarantined(Fingerprint(5499)) {
		t.Error("the request with most crashes, or the last one that was quarantined, has left")
	}
	table.RecordCrash("d", nil, epoch.Add(2*cfg.SuspectTTL))
	if len(table.suspects) != 0 {
		t.Errorf("%d suspects after SuspectTTL", len(table.suspects))
	}
}

// TestFingerprintTellsCallersApart checks that each part of a request counts, so that a
// caller cannot have the request of another one quarantined.
func TestFingerprintTellsCallersApart(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, parts := range [][5]string{
		{"front", "GET", "h", "/a", ""}, {"shop", "GET", "h", "/a", ""}, {"front", "PUT", "h", "/a", ""},
		{"front", "GET", "g", "/a", ""}, {"front", "GET", "h", "/b", ""}, {"front", "GET", "h", "/a", "x"}, {"front", "GET", "h/a", "", ""},
	} {
		f := NewFingerprint(parts[0], parts[1], parts[2], parts[3], []byte(parts[4]))
		if seen[f] {
			t.Errorf("%q has the fingerprint of another request", parts)
		}
		seen[f] = true
		if g, err := ParseFingerprint(f.String()); err != nil || g != f {
			t.Errorf("%v is parsed as %v, %v", f, g, err)
		}
	}
}

// TestClearedRequestStaysCleared lets a node that did not hear of a complete answer tell
// of the crashes before it. Only a later crash makes the request suspect again.
func TestClearedRequestStaysCleared(t *testing.T) {
	table, other := New(DefaultConfig()), New(DefaultConfig())
	for _, x := range []*Table{table, other} {
		x.RecordCrash("s1", []Run{{Fingerprint: killer}}, epoch)
	}
	table.Clear(killer, epoch.Add(time.Second))
	table.Merge(killer, other.Known(killer))
	if n := len(table.Known(killer)); n != 0 {
		t.Errorf("%d crashes after a complete answer", n)
	}
	table.RecordCrash("s2", []Run{{Fingerprint: killer}}, epoch.Add(3*time.Second))
	table.Clear(killer, epoch.Add(2*time.Second))
	if n := len(table.Known(killer)); n != 1 {
		t.Errorf("%d crashes after the next one", n)
	}
}
