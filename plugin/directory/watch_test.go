package directory

import (
	"context"
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
