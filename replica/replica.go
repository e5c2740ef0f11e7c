// Package replica holds a node's copy of the platform's store. The copy is updated
// from a watch of the store or from other nodes. The package does no I/O and reads
// no clock.
package replica

import (
	"cmp"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// maxDeletions is the maximum number of deletions kept for nodes that lag behind. A
// node that lags further gets the full state.
const maxDeletions = 2048

// Table is a copy of the store as of one revision. The revision of a key never
// decreases, whichever source updates it. Table is not safe for concurrent use.
type Table struct {
	entries       map[string]store.Entry
	deletions     []store.Entry // ordered by revision
	discardedUpTo uint64        // deletions up to this revision may be missing from deletions
	revision      uint64
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]store.Entry{}} }

// Revision returns the store revision up to which the table is complete, or 0
// before the first state has arrived.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns the entry of a key.
func (t *Table) Get(key string) (store.Entry, bool) {
	e, ok := t.entries[key]
	return e, ok
}

// Replace replaces the table with the full state as of a revision and returns the
// entries that changed. A state older than the table is ignored. The state of a newer
// era replaces every entry, because a restored store gives out revisions again.
func (t *Table) Replace(entries []store.Entry, revision uint64) []store.Entry {
	if revision < t.revision || revision == 0 {
		return nil
	}
	present := make(map[string]bool, len(entries))
	var changes []store.Entry
	for _, e := range entries {
		present[e.Key] = true
		changes = t.applyEntry(changes, e)
	}
	for key, e := range t.entries {
		if !present[key] && e.Revision <= revision {
			changes = t.applyEntry(changes, store.Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	// The full state does not contain earlier deletions, so a node that is behind
	// this revision needs the full state too.
	t.discardedUpTo = revision
	t.revision = revision
	return changes
}

// Apply applies the changes up to a revision and returns those that were new. Changes
// up to the revision of the table are ignored, because a key that they set may have been
// deleted since, of which a full state says nothing. Changes of another era than that
// of the table are ignored too: only a full state leads from one era to the next.
func (t *Table) Apply(events []store.Entry, revision uint64) []store.Entry {
	if store.Era(revision) != store.Era(t.revision) {
		return nil
	}
	var changes []store.Entry
	for _, e := range events {
		if e.Revision > t.revision {
			changes = t.applyEntry(changes, e)
		}
	}
	t.revision = max(t.revision, revision)
	return changes
}

// applyEntry applies one entry and appends it to changes if it changed the table.
func (t *Table) applyEntry(changes []store.Entry, e store.Entry) []store.Entry {
	old, known := t.entries[e.Key]
	if known && old.Revision >= e.Revision || !known && t.deletedAt(e.Key) >= e.Revision {
		return changes
	}
	if !e.Deleted {
		t.entries[e.Key] = e
		return append(changes, e)
	}
	t.recordDeletion(store.Entry{Key: e.Key, Revision: e.Revision, Deleted: true})
	if !known {
		return changes
	}
	delete(t.entries, e.Key)
	return append(changes, e)
}

// deletedAt returns the revision of the latest recorded deletion of a key, or 0.
func (t *Table) deletedAt(key string) uint64 {
	for _, e := range slices.Backward(t.deletions) {
		if e.Key == key {
			return e.Revision
		}
	}
	return 0
}

func (t *Table) recordDeletion(e store.Entry) {
	at, _ := slices.BinarySearchFunc(t.deletions, e, compareRevisions)
	t.deletions = slices.Insert(t.deletions, at, e)
	if len(t.deletions) > maxDeletions {
		t.discardedUpTo = max(t.discardedUpTo, t.deletions[0].Revision)
		t.deletions = slices.Delete(t.deletions, 0, 1)
	}
}

// Since returns the changes after a revision, ordered by revision. full reports that
// the entries are the full state instead, because not all changes since are known.
func (t *Table) Since(after uint64) (entries []store.Entry, full bool) {
	full = after == 0 || after < t.discardedUpTo
	for _, e := range t.entries {
		if full || e.Revision > after {
			entries = append(entries, e)
		}
	}
	if !full {
		for _, e := range t.deletions {
			if e.Revision > after {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, compareRevisions)
	return entries, full
}

func compareRevisions(a, b store.Entry) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}
