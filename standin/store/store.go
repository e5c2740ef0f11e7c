// Package store is a stand-in of the platform's key-value service for tests and
// trials. It keeps everything in memory, counts each call, limits their rates
// and brings about faults on demand.
package store

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	platform "github.com/dogwoodhatch/dogwoodhatch/store"
)

// memory is the state of the store. It is safe for concurrent use.
type memory struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]platform.Entry // an empty value is a deletion
	leases   map[string]*lease
	changed  chan struct{} // closed at the next change
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newMemory() *memory {
	return &memory{
		entries: make(map[string]platform.Entry),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
	}
}

func (m *memory) get(key string) (platform.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	if len(e.Value) == 0 {
		return platform.Entry{}, errs.New(errs.NotFound, "check the key", "key %q does not exist", key)
	}
	return e, nil
}

// list returns the entries below prefix that are newer than after.
func (m *memory) list(prefix string, after uint64, deleted bool) platform.Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := platform.Listing{Revision: m.revision}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) && e.Revision > after && (deleted || len(e.Value) > 0) {
			l.Entries = append(l.Entries, e)
		}
	}
	return l
}

// next returns a channel that is closed at the next change.
func (m *memory) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// swap writes an entry, or deletes it if the value is empty.
func (m *memory) swap(key string, value []byte, expect uint64, leaseID string) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.entries[key]
	current := e.Revision
	if len(e.Value) == 0 {
		current = 0
	}
	if current != expect {
		return 0, errs.New(errs.Conflict, "read the key again", "key %q is at revision %d, not %d", key, current, expect)
	}
	if _, ok := m.leases[leaseID]; leaseID != "" && !ok {
		return 0, errs.New(errs.NotFound, "grant a new lease", "lease %q has lapsed", leaseID)
	}
	return m.set(key, value, leaseID), nil
}

func (m *memory) set(key string, value []byte, leaseID string) uint64 {
	m.revision++
	m.entries[key] = platform.Entry{Key: key, Value: value, Revision: m.revision, Lease: leaseID}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.revision
}

func (m *memory) grant(ttl time.Duration) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := uuid.NewString()
	m.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { _ = m.revoke(id) })}
	return id
}

func (m *memory) renew(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok || !l.timer.Stop() {
		return fmt.Errorf("lease %q: %w", id, errLapsed)
	}
	l.timer.Reset(l.ttl)
	return nil
}

var errLapsed = errs.New(errs.NotFound, "grant a new lease", "the lease has lapsed")

func (m *memory) revoke(id string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return errLapsed
	}
	l.timer.Stop()
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id && len(e.Value) > 0 {
			m.set(key, nil, "")
		}
	}
	return nil
}
