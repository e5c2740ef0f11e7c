package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func TestReportOrder(t *testing.T) {
	type step struct {
		report  Report
		leave   bool
		want    Change
		serving bool
	}
	for name, steps := range map[string][]step{
		"a start, a renewal, a drain": {
			{Report{Instance: "a", Born: 1, Sequence: 1}, false, Started, true},
			{Report{Instance: "a", Born: 1, Sequence: 2}, false, Renewed, true},
			{Report{Instance: "a", Born: 1, Sequence: 3, Draining: true}, false, Ended, false},
		},
		"a late report after the drain": {
			{Report{Instance: "a", Born: 1, Sequence: 5, Draining: true}, false, Ended, false},
			{Report{Instance: "a", Born: 1, Sequence: 4}, false, Stale, false},
			{Report{Instance: "a", Born: 1, Sequence: 6}, false, Renewed, false},
		},
		"a late report of an earlier start": {
			{Report{Instance: "b", Born: 9, Sequence: 1}, false, Started, true},
			{Report{Instance: "a", Born: 1, Sequence: 80, Draining: true}, false, Stale, true},
			{Report{Instance: "a", Born: 1}, true, Stale, true},
		},
		"a new start with the same instance id": {
			{Report{Instance: "a", Born: 1, Sequence: 80, Draining: true}, false, Ended, false},
			{Report{Instance: "a", Born: 9, Sequence: 1}, false, Started, true},
			{Report{Instance: "a", Born: 1}, true, Stale, true},
		},
		"a backend server that leaves first": {
			{Report{Instance: "a", Born: 1, Sequence: 1}, false, Started, true},
			{Report{Instance: "a", Born: 1}, true, Ended, false},
			{Report{Instance: "a", Born: 1, Sequence: 2}, false, Renewed, false},
		},
		"a departure before any report": {
			{Report{Instance: "a", Born: 1}, true, Ended, false},
			{Report{Instance: "a", Born: 1, Sequence: 2}, false, Renewed, false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			for i, s := range steps {
				var got Change
				if s.leave {
					got = tr.Leave(s.report.Instance, s.report.Born, now)
				} else {
					got = tr.Apply(s.report, now)
				}
				if got != s.want || tr.Serving() != s.serving {
					t.Fatalf("step %d: %v, serving %t; want %v, %t", i, got, tr.Serving(), s.want, s.serving)
				}
			}
		})
	}
}

func TestSilentAfterLimit(t *testing.T) {
	var tr Tracker
	tr.Apply(Report{Instance: "a", Sequence: 1}, now)
	if tr.Silent(time.Second, now.Add(time.Second)) || !tr.Silent(time.Second, now.Add(2*time.Second)) {
		t.Fatal("Silent must be false at the limit and true after it")
	}
}

// Reports of several starts arrive in any order. The newest start that sent a
// report decides, and a start that has drained never serves again.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Report
		for born := int64(1); born <= 3; born++ {
			drains := int64(rapid.IntRange(2, 6).Draw(t, "drains"))
			for seq := int64(1); seq <= 5; seq++ {
				all = append(all, Report{Instance: "a", Born: born, Sequence: seq, Draining: seq >= drains})
			}
		}
		var tr Tracker
		var newest Report
		drained := map[int64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "deliveries") {
			r := rapid.SampledFrom(all).Draw(t, "report")
			tr.Apply(r, now)
			if r.Born > newest.Born || r.Born == newest.Born && r.Sequence > newest.Sequence {
				newest = r
				drained[r.Born] = drained[r.Born] || r.Draining
			}
			if tr.Current() != newest {
				t.Fatalf("current %+v, newest %+v", tr.Current(), newest)
			}
			if tr.Serving() == drained[newest.Born] {
				t.Fatalf("serving %t after %+v", tr.Serving(), newest)
			}
		}
	})
}

// After a restart of the node, a backend server may leave before the tracker has
// received any report. Late reports of that start must not count as a new start.
// The departure may or may not carry the time of the start.
func TestDepartureBeforeAnyReport(t *testing.T) {
	left := time.UnixMilli(5000)
	for name, born := range map[string]int64{"born known": 1000, "born unknown": 0} {
		var tr Tracker
		if c := tr.Leave("i-1", born, left); c != Ended {
			t.Errorf("%s: departure: %v", name, c)
		}
		if c := tr.Apply(Report{Instance: "i-1", Born: 1000, Sequence: 14, Service: "s"}, left.Add(time.Second)); c == Started || tr.Serving() {
			t.Errorf("%s: a late report of the start that left: %v", name, c)
		}
		other := tr
		if c := other.Apply(Report{Instance: "i-2", Born: 4000, Sequence: 1, Service: "s"}, left.Add(time.Second)); c != Started {
			t.Errorf("%s: another backend server, born before the departure: %v", name, c)
		}
		if c := tr.Apply(Report{Instance: "i-1", Born: 5500, Sequence: 1, Service: "s"}, left.Add(time.Second)); c != Started || !tr.Serving() {
			t.Errorf("%s: the next start with the same id: %v", name, c)
		}
	}
}

// TestDepartureOfANewerStart checks that a late report of a start that has left, of which
// no report had arrived before, does not serve again, and that the next start does.
func TestDepartureOfANewerStart(t *testing.T) {
	var tr Tracker
	now := time.Unix(100, 0)
	report := func(born, sequence int64) Change {
		return tr.Apply(Report{Instance: "i", Born: born, Sequence: sequence, Service: "rates"}, now)
	}
	report(10, 1)
	if change := tr.Leave("i", 20, now); change != Ended {
		t.Fatalf("departure: %v", change)
	}
	if change := report(20, 5); change == Started || tr.Serving() {
		t.Errorf("late report of the start that left: %v, serving %t", change, tr.Serving())
	}
	if change := report(30, 1); change != Started || !tr.Serving() {
		t.Errorf("report of the next start: %v, serving %t", change, tr.Serving())
	}
}
