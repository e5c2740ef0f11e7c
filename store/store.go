// Package store defines what dogwoodhatch needs of the platform's key-value
// service. The client that speaks to it belongs to the platform's adapter.
package store

import (
	"context"
	"time"
)

// Entry is the state of one key.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change
	Lease    string // "" for a key without a lease
	Deleted  bool   // the key was removed at Revision; only Watch tells
}

// Store is a key-value service with one revision counter, compare-and-swap,
// leases and watches. Errors are of kind errs.Unavailable when nothing was
// changed, and of kind errs.Unknown when a write may have taken effect or may
// still take effect.
type Store interface {
	// Get returns the entry of a key, or an error of kind errs.NotFound.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries below a prefix, and a revision of the store from
	// which a watch misses nothing that the list does not hold.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)

	// CompareAndSwap writes a value if the key is at the revision expect; 0
	// expects an absent key. A key written under a lease goes with the lease.
	// It returns the new revision, or an error of kind errs.Conflict, or of kind
	// errs.NotFound if the lease has ended.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64, lease string) (uint64, error)

	// Delete removes a key that is at the revision expect, and returns the
	// revision of the deletion.
	Delete(ctx context.Context, key string, expect uint64) (uint64, error)

	// Watch waits until a key below the prefix has changed after the given
	// revision, and returns the changes in order with the revision from which to
	// watch next. It returns no changes after WatchTimeout. The error is of kind
	// errs.Gone when the store no longer knows what changed since; List then
	// tells the present state.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)

	// Grant returns a new lease, which lapses unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (string, error)

	// Renew restarts the time of a lease, or returns an error of kind
	// errs.NotFound if it has lapsed.
	Renew(ctx context.Context, lease string) error

	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// MaxValueBytes is the size of the largest value.
const MaxValueBytes = 1 << 20
