package store

import (
	"cmp"
	"testing"

	"pgregory.net/rapid"
)

func TestRevisionsAreOrderedByEraThenCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, MaxEra)
		counter := rapid.Uint64Range(1, MaxCounter)
		e1, c1 := era.Draw(t, "era 1"), counter.Draw(t, "counter 1")
		e2, c2 := era.Draw(t, "era 2"), counter.Draw(t, "counter 2")
		r1, r2 := JoinRevision(e1, c1), JoinRevision(e2, c2)
		if want := cmp.Or(cmp.Compare(e1, e2), cmp.Compare(c1, c2)); cmp.Compare(r1, r2) != want {
			t.Fatalf("%d.%d against %d.%d: revisions %d and %d", e1, c1, e2, c2, r1, r2)
		}
		if e, c := SplitRevision(r1); e != e1 || c != c1 || Era(r1) != e1 {
			t.Fatalf("%d.%d became %d.%d", e1, c1, e, c)
		}
	})
	if JoinRevision(3, 0) != 0 || JoinRevision(0, 7) != 7 {
		t.Fatal("counter 0 must be no revision, and era 0 must not change a counter")
	}
}
