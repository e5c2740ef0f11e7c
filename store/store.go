// Package store defines what dogwoodhatch needs of the platform's key-value
// service, and an adapter that reaches it over HTTP.
package store

import (
	"context"
	"time"
)

// Entry is the state of one key.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"` // empty after a deletion, which only Watch tells
	Revision uint64 `json:"revision"`
	Lease    string `json:"lease,omitempty"`
}

// Store is a key-value service with one revision counter, compare-and-swap,
// leases and watches. Errors are of kind errs.Unavailable when nothing was
// changed, and of kind errs.Unknown when a write may have taken effect or may
// still take effect.
type Store interface {
	// Get returns the entry of a key, or an error of kind errs.NotFound.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries below a prefix, and the revision of the store
	// at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)

	// CompareAndSwap writes a value if the key is at the revision expect; 0
	// expects an absent key. A key written under a lease goes with the lease.
	// It returns the new revision, or an error of kind errs.Conflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64, lease string) (uint64, error)

	// Delete removes a key that is at the revision expect, and returns the
	// revision of the deletion.
	Delete(ctx context.Context, key string, expect uint64) (uint64, error)

	// Watch waits until an entry below the prefix has a revision higher than
	// after, and returns these entries with the revision from which to watch
	// next. It returns no entries after WatchTimeout. A revision lower than
	// after says that the store has lost its state.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)

	// Grant returns a new lease, which lapses unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (string, error)

	// Renew restarts the time of a lease, or returns an error of kind
	// errs.NotFound if it has lapsed.
	Renew(ctx context.Context, lease string) error

	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// WatchTimeout is the time after which a watch returns by itself. It bounds how
// long a watch that has gone silent hides a change.
const WatchTimeout = 5 * time.Second

// MaxValueBytes is the size of the largest value.
const MaxValueBytes = 1 << 20
