package directory

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// silentStore is a store whose watches hear nothing for a while: they end without
// changes, at the revision that the store has by then.
type silentStore struct {
	store.Store
	silent atomic.Bool
	heard  atomic.Int32 // watches that ended so
}

// Watch implements store.Store.
func (s *silentStore) Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error) {
	if !s.silent.Load() {
		return s.Store.Watch(ctx, prefix, after)
	}
	_, revision, err := s.List(ctx, prefix)
	if err == nil && revision > after {
		s.heard.Add(1)
	}
	time.Sleep(20 * time.Millisecond)
	return nil, revision, err
}

// TestWatchThatHearsNothingSkipsNoChange changes a key while watches hear nothing. The
// change must arrive once they do again.
func TestWatchThatHearsNothingSkipsNoChange(t *testing.T) {
	_, _, url := startStore(t)
	quiet := &silentStore{}
	n := newFleet().startWith(t, "a", "127.0.0.1:1", url, func(s store.Store) store.Store {
		quiet.Store = s
		return quiet
	})
	value := lastValue(n, "test/")
	writeKey(t, url, "test/key", []byte("before"))
	waitFor(t, "first change", 3*time.Second, func() bool { return value() == "before" })
	quiet.silent.Store(true)
	writeKey(t, url, "test/key", []byte("after"))
	waitFor(t, "watches that hear nothing", 3*time.Second, func() bool { return quiet.heard.Load() > 0 })
	quiet.silent.Store(false)
	waitFor(t, "the change", 5*time.Second, func() bool { return value() == "after" })
}

// forgetfulStore is a silentStore whose watches never return the changes of one key.
type forgetfulStore struct {
	silentStore
	key string
}

// Watch implements store.Store.
func (s *forgetfulStore) Watch(ctx context.Context, prefix string, after uint64) ([]store.Entry, uint64, error) {
	entries, revision, err := s.silentStore.Watch(ctx, prefix, after)
	return slices.DeleteFunc(entries, func(e store.Entry) bool { return e.Key == s.key }), revision, err
}

// TestChangeThatWatchesMissedIsReadFromTheWholeState guards against a copy that reaches a revision
// without one of the changes before it: no comparison of revisions would ever show that.
func TestChangeThatWatchesMissedIsReadFromTheWholeState(t *testing.T) {
	_, _, url := startStore(t)
	forgetful := &forgetfulStore{key: "test/key"}
	n := newFleet().startWith(t, "a", "127.0.0.1:1", url, func(s store.Store) store.Store {
		forgetful.Store = s
		return forgetful
	})
	value := lastValue(n, "test/")
	writeKey(t, url, "test/other", []byte("before"))
	waitFor(t, "first change", 3*time.Second, func() bool { return value() == "before" })
	forgetful.silent.Store(true)
	writeKey(t, url, "test/key", []byte("missed"))
	writeKey(t, url, "test/other", []byte("later"))
	waitFor(t, "watches that hear nothing", 3*time.Second, func() bool { return forgetful.heard.Load() > 0 })
	forgetful.silent.Store(false)
	waitFor(t, "the change that watches missed", 5*time.Second, func() bool {
		e, ok := n.Fleet.(*directory).entry("test/key")
		return ok && string(e.Value) == "missed"
	})
}

// entry returns the entry of a key in the copy.
func (d *directory) entry(key string) (e store.Entry, ok bool) {
	d.k.Control.Do(func() { e, ok = d.table.Get(key) })
	return e, ok
}
