package execution

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func attemptID(n int) call.ID {
	var id uuid.UUID
	id[0], id[1] = byte(n>>8), byte(n)
	return id
}

// naiveRegistry is the reference implementation of Registry, without retention or a
// limit on entries.
type naiveRegistry map[call.ID]string

func (r naiveRegistry) begin(a call.ID) Verdict {
	switch r[a] {
	case "":
		r[a] = "begun"
		return Run
	case "withdrawn":
		return Withdrawn
	}
	return Duplicate
}

func (r naiveRegistry) transition(a call.ID, to string, from ...string) bool {
	for _, f := range from {
		if r[a] == f {
			r[a] = to
			return true
		}
	}
	return false
}

func (r naiveRegistry) withdraw(a call.ID) bool {
	r.transition(a, "withdrawn", "", "begun")
	return r[a] == "withdrawn" || r[a] == "refused"
}

// Copies, withdrawals and ends of several attempts arrive in any order, within the
// retention.
func TestRegistryAgreesWithNaiveMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultRegistryConfig()
		r := NewRegistry(cfg)
		naive := naiveRegistry{}
		now := epoch
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			a := attemptID(rapid.IntRange(0, 15).Draw(t, "attempt"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				if got, want := r.Begin(a, now), naive.begin(a); got != want {
					t.Fatalf("Begin: got %v, want %v", got, want)
				}
			case 1:
				if got, want := r.Start(a, now), naive.transition(a, "started", "begun"); got != want {
					t.Fatalf("Start: got %v, want %v", got, want)
				}
			case 2:
				r.Refuse(a, now)
				naive.transition(a, "refused", "begun", "started")
			case 3:
				r.Finish(a, now)
				naive.transition(a, "finished", "begun", "started")
			case 4:
				if got, want := r.Withdraw(a, now), naive.withdraw(a); got != want {
					t.Fatalf("Withdraw: got %v, want %v", got, want)
				}
			case 5:
				r.Expire(now)
			}
		}
	})
}

// An attempt starts at most once, and never after the registry reported it as not
// executed, even if entries overflow into the filter and copies arrive late within
// the retention.
func TestAttemptStartsAtMostOnceInBoundedMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RegistryConfig{Retention: 10 * time.Second, MaxEntries: 3, FilterBits: 256}
		r := NewRegistry(cfg)
		now := epoch
		firstSeen := map[call.ID]time.Time{}
		started := map[call.ID]bool{}
		reportedNotRun := map[call.ID]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			a := attemptID(rapid.IntRange(0, 9).Draw(t, "attempt"))
			if seen, ok := firstSeen[a]; !ok {
				firstSeen[a] = now
			} else if now.Sub(seen) >= cfg.Retention && r.find(a) == nil {
				continue // no copy arrives after the retention
			}
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				v := r.Begin(a, now)
				if v == Run && reportedNotRun[a] {
					t.Fatal("admitted after it was reported as never run")
				}
				if v == Withdrawn || v == Full {
					reportedNotRun[a] = true
				}
			case 1:
				if r.Start(a, now) {
					if started[a] || reportedNotRun[a] {
						t.Fatalf("started again: %v, after being reported as not executed: %v", started[a], reportedNotRun[a])
					}
					started[a] = true
				}
			case 2:
				r.Finish(a, now)
			case 3:
				if r.Withdraw(a, now) {
					if started[a] {
						t.Fatal("reported as never run, but it started")
					}
					reportedNotRun[a] = true
				}
			}
			r.Expire(now)
			if r.Len() > cfg.MaxEntries {
				t.Fatalf("%d entries exceed MaxEntries", r.Len())
			}
		}
	})
}

func TestRegistryForgetsEndedAttemptsOnly(t *testing.T) {
	r := NewRegistry(DefaultRegistryConfig())
	r.Begin(attemptID(1), epoch)
	r.Begin(attemptID(2), epoch)
	r.Start(attemptID(1), epoch)
	r.Start(attemptID(2), epoch)
	r.Finish(attemptID(2), epoch)
	later := epoch.Add(2 * r.cfg.Retention)
	r.Expire(later)
	if v := r.Begin(attemptID(1), later); v != Duplicate {
		t.Fatalf("a copy of a running attempt got verdict %v, want duplicate", v)
	}
	if r.Len() != 1 {
		t.Fatalf("%d entries are kept, want 1", r.Len())
	}
}
