// Package replica keeps a node's copy of the platform's store, filled by the
// watch of the store or by other nodes. It does no I/O and reads no clock.
package replica

import (
	"cmp"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// maxDeletions bounds the deletions that are remembered for nodes that lag. A
// node that lags further gets the whole state.
const maxDeletions = 2048

// Table is a copy of the store as of one revision. A key only moves to higher
// revisions, whichever source tells of it. It is not safe for concurrent use.
type Table struct {
	entries   map[string]store.Entry
	deletions []store.Entry // by revision
	forgotten uint64        // deletions up to this revision are no longer known
	revision  uint64
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]store.Entry{}} }

// Revision returns the store revision up to which the table is complete; 0
// before the first state has arrived.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns the entry of a key.
func (t *Table) Get(key string) (store.Entry, bool) {
	e, ok := t.entries[key]
	return e, ok
}

// Replace takes the whole state as of a revision and returns what has changed.
// A state older than the table changes nothing.
func (t *Table) Replace(entries []store.Entry, revision uint64) []store.Entry {
	if revision < t.revision || revision == 0 {
		return nil
	}
	listed := make(map[string]bool, len(entries))
	var changes []store.Entry
	for _, e := range entries {
		listed[e.Key] = true
		changes = t.put(changes, e)
	}
	for key, e := range t.entries {
		if !listed[key] && e.Revision <= revision {
			changes = t.put(changes, store.Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	// The list does not tell which keys came and went before it, so a node that
	// lags behind it needs the whole state.
	t.forgotten = revision
	t.revision = revision
	return changes
}

// Apply takes the changes that lead to a revision and returns those that were
// new.
func (t *Table) Apply(events []store.Entry, revision uint64) []store.Entry {
	var changes []store.Entry
	for _, e := range events {
		changes = t.put(changes, e)
	}
	t.revision = max(t.revision, revision)
	return changes
}

// put takes one entry and appends it to changes if it is news.
func (t *Table) put(changes []store.Entry, e store.Entry) []store.Entry {
	old, known := t.entries[e.Key]
	if known && old.Revision >= e.Revision || !known && t.deletedAt(e.Key) >= e.Revision {
		return changes
	}
	if !e.Deleted {
		t.entries[e.Key] = e
		return append(changes, e)
	}
	t.remember(store.Entry{Key: e.Key, Revision: e.Revision, Deleted: true})
	if !known {
		return changes
	}
	delete(t.entries, e.Key)
	return append(changes, e)
}

// deletedAt returns the revision of the last remembered deletion of a key, or 0.
func (t *Table) deletedAt(key string) uint64 {
	for _, e := range slices.Backward(t.deletions) {
		if e.Key == key {
			return e.Revision
		}
	}
	return 0
}

func (t *Table) remember(e store.Entry) {
	at, _ := slices.BinarySearchFunc(t.deletions, e, byRevision)
	t.deletions = slices.Insert(t.deletions, at, e)
	if len(t.deletions) > maxDeletions {
		t.forgotten = max(t.forgotten, t.deletions[0].Revision)
		t.deletions = slices.Delete(t.deletions, 0, 1)
	}
}

// Since returns what leads from a revision to that of the table. whole says that
// the entries are all there are, because the changes since are not known.
func (t *Table) Since(after uint64) (entries []store.Entry, whole bool) {
	whole = after == 0 || after < t.forgotten
	for _, e := range t.entries {
		if whole || e.Revision > after {
			entries = append(entries, e)
		}
	}
	if !whole {
		for _, e := range t.deletions {
			if e.Revision > after {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, byRevision)
	return entries, whole
}

func byRevision(a, b store.Entry) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}
