package replica

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// history is a model of the store: all its changes in revision order.
type history []store.Entry

func drawHistory(t *rapid.T) history {
	var h history
	revision := uint64(0)
	for range rapid.IntRange(1, 40).Draw(t, "changes") {
		revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
		h = append(h, store.Entry{
			Key: fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")), Revision: revision,
			Value: []byte{byte(revision)}, Deleted: rapid.Bool().Draw(t, "deleted"),
		})
	}
	for i := range h {
		if h[i].Deleted {
			h[i].Value = nil
		}
	}
	return h
}

// at returns the state as of a revision.
func (h history) at(revision uint64) map[string]store.Entry {
	state := map[string]store.Entry{}
	for _, e := range h {
		if e.Revision > revision {
			break
		}
		delete(state, e.Key)
		if !e.Deleted {
			state[e.Key] = e
		}
	}
	return state
}

func (h history) between(after, upTo uint64) []store.Entry {
	var list []store.Entry
	for _, e := range h {
		if e.Revision > after && e.Revision <= upTo {
			list = append(list, e)
		}
	}
	return list
}

func entryList(m map[string]store.Entry) []store.Entry {
	var list []store.Entry
	for _, e := range m {
		list = append(list, e)
	}
	return list
}

// TestTablesFollowTheStore updates tables from the store and from each other in random
// order. Each table must equal the state of the store at its revision, and its
// revision must not decrease.
func TestTablesFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		last := h[len(h)-1].Revision
		tables := []*Table{New(), New(), New()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			to := tables[rapid.IntRange(0, 2).Draw(t, "to")]
			before := to.Revision()
			revision := uint64(rapid.IntRange(1, int(last)).Draw(t, "revision"))
			switch rapid.SampledFrom([]string{"list", "watch", "peer"}).Draw(t, "source") {
			case "list":
				to.Replace(entryList(h.at(revision)), revision)
			case "watch":
				if before > 0 && revision > before {
					to.Apply(h.between(before, revision), revision)
				}
			case "peer":
				from := tables[rapid.IntRange(0, 2).Draw(t, "from")]
				if from.Revision() == 0 || from.Revision() < before {
					break
				}
				entries, full := from.Since(before)
				if full {
					to.Replace(entries, from.Revision())
				} else {
					to.Apply(entries, from.Revision())
				}
			}
			if to.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, to.Revision())
			}
			if to.Revision() == 0 {
				continue
			}
			if diff := cmp.Diff(h.at(to.Revision()), to.entries); diff != "" {
				t.Fatalf("table at %d differs from the store: %s", to.Revision(), diff)
			}
		}
	})
}

func TestStaleListChangesNothing(t *testing.T) {
	tab := New()
	tab.Replace([]store.Entry{{Key: "a", Revision: 7, Value: []byte("new")}}, 9)
	if changes := tab.Replace([]store.Entry{{Key: "a", Revision: 3, Value: []byte("old")}}, 5); changes != nil {
		t.Fatalf("a list of revision 5 changed a table of revision 9: %v", changes)
	}
	if e, _ := tab.Get("a"); string(e.Value) != "new" {
		t.Fatalf("the key was overwritten with the older value %q", e.Value)
	}
}

// TestLateChangesDoNotReviveDeletedKeys applies the answer to a request for changes
// after a newer full state has arrived. A key that was created and deleted in between
// must stay deleted.
func TestLateChangesDoNotReviveDeletedKeys(t *testing.T) {
	tab := New()
	tab.Replace(nil, 5)
	tab.Replace(nil, 9) // the key existed from revision 6 to 8
	if changes := tab.Apply([]store.Entry{{Key: "a", Revision: 6, Value: []byte("x")}}, 7); changes != nil {
		t.Fatalf("late changes were applied: %v", changes)
	}
	if e, ok := tab.Get("a"); ok {
		t.Fatalf("the deleted key is back: %+v", e)
	}
}

func TestNodeThatLagsTooFarGetsFullState(t *testing.T) {
	tab := New()
	tab.Replace(nil, 1)
	for i := range maxDeletions + 2 {
		revision := uint64(2 + 2*i)
		tab.Apply([]store.Entry{{Key: "a", Revision: revision, Value: []byte("x")}, {Key: "a", Revision: revision + 1, Deleted: true}}, revision+1)
	}
	if _, full := tab.Since(2); !full {
		t.Fatal("Since returned changes although deletions in the range were discarded")
	}
	if _, full := tab.Since(tab.Revision() - 10); full {
		t.Fatal("the whole state was returned to a node that lags a little")
	}
}

// TestTablesFollowARestoredStore follows a store that is restored from older copies and
// gives out revisions again with other contents. Tables get lists and changes of any
// era, also late ones, and updates from each other. A table must equal the store as of
// its revision, whose order is by era first, and must reach the last era.
func TestTablesFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eras := drawEras(t)
		tables := []*Table{New(), New(), New()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			to := tables[rapid.IntRange(0, 2).Draw(t, "to")]
			before := to.Revision()
			era := rapid.IntRange(0, len(eras)-1).Draw(t, "era")
			h := eras[era]
			revision := h[rapid.IntRange(0, len(h)-1).Draw(t, "change")].Revision
			switch rapid.SampledFrom([]string{"list", "watch", "late watch", "peer"}).Draw(t, "source") {
			case "list":
				to.Replace(entryList(h.at(revision)), revision)
			case "watch":
				if store.Era(before) == uint64(era) && before > 0 && revision > before {
					to.Apply(h.between(before, revision), revision)
				}
			case "late watch": // from an earlier revision of the same or of an earlier era
				after := h[0].Revision
				if after <= before && revision > after {
					to.Apply(h.between(after, revision), revision)
				}
			case "peer":
				from := tables[rapid.IntRange(0, 2).Draw(t, "from")]
				if from.Revision() == 0 || from.Revision() < before {
					break
				}
				entries, full := from.Since(before)
				if full {
					to.Replace(entries, from.Revision())
				} else {
					to.Apply(entries, from.Revision())
				}
			}
			if to.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, to.Revision())
			}
			if to.Revision() == 0 {
				continue
			}
			if diff := cmp.Diff(eras[store.Era(to.Revision())].at(to.Revision()), to.entries); diff != "" {
				t.Fatalf("table at %d differs from the store: %s", to.Revision(), diff)
			}
		}
	})
}

// drawEras returns the history of the store in each era. Every era begins with a copy
// of the one before as of an earlier revision; its further changes differ.
func drawEras(t *rapid.T) []history {
	eras := []history{drawHistory(t)}
	for era := 1; era < rapid.IntRange(2, 4).Draw(t, "eras"); era++ {
		last := eras[era-1]
		var h history
		for _, e := range last[:rapid.IntRange(1, len(last)).Draw(t, "kept")] {
			_, counter := store.SplitRevision(e.Revision)
			e.Revision = store.JoinRevision(uint64(era), counter)
			h = append(h, e)
		}
		_, counter := store.SplitRevision(h[len(h)-1].Revision)
		for _, e := range drawHistory(t) {
			_, step := store.SplitRevision(e.Revision)
			e.Revision = store.JoinRevision(uint64(era), counter+step)
			if !e.Deleted {
				e.Value = []byte{byte(era), byte(step)}
			}
			h = append(h, e)
		}
		eras = append(eras, h)
	}
	return eras
}
