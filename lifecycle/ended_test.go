package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

// TestStartThatLeftStaysEndedBehindAnotherInstance lets a backend server leave, and then
// another instance report. It guards against a late report of the one that left, which a
// report without a start time must not turn into a new start.
func TestStartThatLeftStaysEndedBehindAnotherInstance(t *testing.T) {
	for name, leave := range map[string]func(*Tracker){
		"leaves": func(tr *Tracker) { tr.Leave("a", 1000, time.UnixMilli(5000)) },
		"drains": func(tr *Tracker) {
			tr.Apply(Report{Instance: "a", Born: 1000, Sequence: 4, Draining: true}, time.UnixMilli(5000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var tr Tracker
			tr.Apply(Report{Instance: "a", Born: 1000, Sequence: 1}, time.UnixMilli(2000))
			leave(&tr)
			if c := tr.Apply(Report{Instance: "other", Sequence: 1}, time.UnixMilli(5500)); c != Started {
				t.Fatalf("report without a start time: %v", c)
			}
			if c := tr.Apply(Report{Instance: "a", Born: 1000, Sequence: 3}, time.UnixMilli(6000)); c != Stale || tr.Current().Instance != "other" {
				t.Fatalf("late report of the start that left: %v, current %+v", c, tr.Current())
			}
			if c := tr.Apply(Report{Instance: "a", Born: 7000, Sequence: 1}, time.UnixMilli(8000)); c != Started {
				t.Fatalf("next start of that instance: %v", c)
			}
		})
	}
}

// TestDepartureBehindAnotherEndedStart lets a second backend server leave of which no report
// has arrived, as after a restart of the node. It guards against a departure that is
// acknowledged and then forgotten because another start is the current one.
func TestDepartureBehindAnotherEndedStart(t *testing.T) {
	var tr Tracker
	tr.Leave("a", 1000, time.UnixMilli(5000))
	if c := tr.Leave("b", 2000, time.UnixMilli(6000)); c == Stale {
		t.Fatalf("departure of the second backend server: %v", c)
	}
	if instance, born := tr.LastEnded(); instance != "b" || born != 2000 {
		t.Fatalf("last ended start %s, %d", instance, born)
	}
	if c := tr.Leave("c", 1500, time.UnixMilli(6200)); c != Stale {
		t.Fatalf("departure of an earlier start: %v", c)
	}
	for _, r := range []Report{{Instance: "b", Born: 2000, Sequence: 5}, {Instance: "a", Born: 1000, Sequence: 9}, {Instance: "c", Born: 1500, Sequence: 2}} {
		if c := tr.Apply(r, time.UnixMilli(6500)); c == Started || tr.Serving() {
			t.Fatalf("late report of %s: %v", r.Instance, c)
		}
	}
}

// TestDepartureBesideALiveStart lets a backend server leave while another one accepts calls
// at its address. That one serves on, and the one that left does not come back.
func TestDepartureBesideALiveStart(t *testing.T) {
	var tr Tracker
	tr.Apply(Report{Instance: "b", Sequence: 1}, time.UnixMilli(2000))
	if c := tr.Leave("a", 1000, time.UnixMilli(5000)); c != Stale || !tr.Serving() {
		t.Fatalf("departure: %v, serving %t", c, tr.Serving())
	}
	if c := tr.Apply(Report{Instance: "a", Born: 1000, Sequence: 7}, time.UnixMilli(6000)); c != Stale || tr.Current().Instance != "b" {
		t.Fatalf("late report of the start that left: %v, current %+v", c, tr.Current())
	}
}

// TestEndedInstancesAreBounded lets many backend servers leave one after the other.
func TestEndedInstancesAreBounded(t *testing.T) {
	var tr Tracker
	for born := int64(1); born <= 1000; born++ {
		tr.Leave(fmt.Sprint("i-", born), born, time.UnixMilli(born))
	}
	if len(tr.endedBorn) > maxEndedInstances {
		t.Fatalf("%d instances are kept", len(tr.endedBorn))
	}
	if c := tr.Apply(Report{Instance: "i-1000", Born: 1000, Sequence: 1}, time.UnixMilli(2000)); c == Started {
		t.Fatal("the last one that left serves again")
	}
}
