// Package store defines the interface that dogwoodhatch requires of the platform's
// key-value service. The adapter of the platform implements it.
package store

import (
	"context"
	"time"
)

// Entry is the state of one key.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // revision of the last change, see JoinRevision
	Lease    string // "" for a key without a lease
	Deleted  bool   // the key was deleted at Revision; only set by Watch
}

// Store is a key-value service with a single revision counter, compare-and-swap,
// leases and watches. Unless stated otherwise, an error is of kind errs.Unavailable if
// nothing was changed, and of kind errs.Unknown if a write may have taken effect or
// may still do so.
//
// After the store was restored from an older copy, revisions and leases from before
// are not used against it: a compare-and-swap that expects one fails with
// errs.Conflict, a watch after one with errs.Gone, and the leases count as ended.
type Store interface {
	// Get returns the entry of a key, or an error of kind errs.NotFound.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries whose keys have the prefix, and a store revision. A
	// watch after this revision returns every change that the list does not include.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)

	// CompareAndSwap writes a value if the current revision of the key is expect; 0
	// stands for an absent key. If lease is not "", the key is deleted when the lease
	// ends. CompareAndSwap returns the new revision. The error is of kind
	// errs.Conflict if the revision differs, and errs.NotFound if the lease has
	// ended.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64, lease string) (uint64, error)

	// Delete deletes a key if its current revision is expect, and returns the
	// revision of the deletion. The error is of kind errs.Conflict if the revision
	// differs.
	Delete(ctx context.Context, key string, expect uint64) (uint64, error)

	// Watch waits until a key with the prefix has changed after the given revision,
	// and returns the changes in order with the revision to pass to the next call.
	// If nothing changes, it returns an empty list after a timeout that the
	// implementation sets. The error is of kind errs.Gone if the store no longer has
	// the changes since that revision; List then returns the current state.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)

	// Grant creates a lease and returns its ID. The lease ends unless it is renewed
	// within ttl.
	Grant(ctx context.Context, ttl time.Duration) (string, error)

	// Renew restarts the TTL of a lease. The error is of kind errs.NotFound if the
	// lease has ended.
	Renew(ctx context.Context, lease string) error

	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20
