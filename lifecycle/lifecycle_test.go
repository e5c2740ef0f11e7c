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

// TestReportsOfAnotherServiceTakeNoPlace sends reports that name another service than the
// settings of the node. They may only take the place of a backend server that is gone, and one
// of the service of the node takes it back, whenever it was born.
func TestReportsOfAnotherServiceTakeNoPlace(t *testing.T) {
	own := func(sequence int64) Report { return Report{Instance: "a", Born: 5, Sequence: sequence} }
	foreign := func(instance string, born int64, draining bool) Report {
		return Report{Instance: instance, Born: born, Sequence: 999_999, Draining: draining, Foreign: true}
	}
	var tr Tracker
	if got := tr.Apply(foreign("b", 1, true), now); got != Stale || tr.Ended() {
		t.Errorf("a drain before anything is known: %v", got)
	}
	tr.Apply(own(1), now)
	for i, r := range []Report{foreign("b", 9, false), foreign("b", 1<<41, false), foreign("b", 9, true), foreign("a", 5, true), foreign("a", 9, false), foreign("b", 0, false)} {
		if got := tr.Apply(r, now); got != Stale || tr.Current() != own(1) {
			t.Errorf("report %d: %v, current %+v", i, got, tr.Current())
		}
	}
	if got := tr.Apply(own(2), now); got != Renewed {
		t.Errorf("next report: %v", got)
	}
	tr.Leave("a", 5, now)
	if got := tr.Apply(foreign("b", 9, true), now); got != Stale {
		t.Errorf("drain after the departure: %v", got)
	}
	if got := tr.Apply(foreign("b", 9, false), now); got != Started {
		t.Errorf("after the departure: %v", got)
	}
	if got := tr.Apply(own(3), now); got != Stale {
		t.Errorf("late report of the start that left: %v", got)
	}
	if got := tr.Apply(Report{Instance: "c", Born: 7, Sequence: 1}, now); got != Started || !tr.Serving() {
		t.Errorf("a start of the service of the node: %v", got)
	}
}

// TestDisplacedStartServesAgain lets a start with a later birth, or a report with a high
// sequence number, displace a live start and then lapse. The live one must be used again once
// it goes on reporting; a single report may have been held back by the network.
func TestDisplacedStartServesAgain(t *testing.T) {
	live := func(sequence int64) Report { return Report{Instance: "a", Born: 5, Sequence: sequence} }
	for name, r := range map[string]Report{
		"later birth":           {Instance: "b", Born: 1 << 41, Sequence: 1},
		"later, same instance":  {Instance: "a", Born: 1 << 41, Sequence: 1},
		"high sequence number":  {Instance: "a", Born: 5, Sequence: 999_999},
		"later birth, drained:": {Instance: "b", Born: 1 << 41, Sequence: 1, Draining: true},
	} {
		var tr Tracker
		tr.Apply(live(1), now)
		tr.Apply(r, now)
		if got := tr.Apply(live(2), now); got != Stale {
			t.Errorf("%s: before the lapse: %v", name, got)
		}
		if r.Draining {
			continue // a backend server that was replaced may drain
		}
		tr.Lapse()
		if got := tr.Apply(live(3), now); got != Stale || tr.Serving() {
			t.Errorf("%s: first report after the lapse: %v", name, got)
		}
		if got := tr.Apply(live(4), now); got == Stale || !tr.Serving() {
			t.Errorf("%s: second report after the lapse: %v", name, got)
		}
	}
	var tr Tracker
	tr.Apply(live(1), now)
	tr.Apply(Report{Instance: "a", Born: 5, Sequence: 2, Draining: true}, now)
	tr.Apply(Report{Instance: "b", Born: 9, Sequence: 1}, now)
	tr.Lapse()
	tr.Apply(live(1), now)
	if got := tr.Apply(live(2), now); got != Stale || tr.Serving() {
		t.Errorf("a start that has drained: %v", got)
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
