package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestEndedStartsKeepTheLatest checks that a late message about an earlier start does not hide
// the end of a later one, and that entries are forgotten after endedRetention.
func TestEndedStartsKeepTheLatest(t *testing.T) {
	var e EndedStarts
	at := time.Unix(1000, 0)
	e.Record("members/a", BackendStart{"i-2", 2000}, at)
	e.Record("members/a", BackendStart{"i-1", 1000}, at.Add(time.Second))
	e.Record("members/a", BackendStart{}, at.Add(time.Second))
	if got, ok := e.Latest("members/a", at.Add(endedRetention)); !ok || got.Instance != "i-2" {
		t.Fatalf("latest %+v, %t", got, ok)
	}
	if _, ok := e.Latest("members/b", at); ok {
		t.Fatal("an end beside another node is known")
	}
	e.Record("members/a", BackendStart{"i-3", 0}, at.Add(2*time.Second))
	if got, _ := e.Latest("members/a", at.Add(3*time.Second)); got.Instance != "i-3" {
		t.Fatalf("a start without a time, told last: %+v", got)
	}
	if _, ok := e.Latest("members/a", at.Add(2*time.Second+endedRetention+1)); ok {
		t.Fatal("the end is known for too long")
	}
}

// TestEndedStartsAreBounded records more ends than are kept. The latest must stay.
func TestEndedStartsAreBounded(t *testing.T) {
	var e EndedStarts
	at := time.Unix(1000, 0)
	for i := range maxEndedStarts + 10 {
		e.Record(fmt.Sprint("members/", i), BackendStart{"i", int64(i + 1)}, at.Add(time.Duration(i)*time.Millisecond))
	}
	if len(e.byKey) > maxEndedStarts {
		t.Fatalf("%d entries", len(e.byKey))
	}
	if _, ok := e.Latest(fmt.Sprint("members/", maxEndedStarts+9), at.Add(5*time.Second)); !ok {
		t.Fatal("the last end is not known")
	}
	if _, ok := e.Latest("members/0", at.Add(5*time.Second)); ok {
		t.Fatal("the oldest end is kept")
	}
}
