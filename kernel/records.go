package kernel

import (
	"slices"
	"strings"
	"sync"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// RecordHandler processes a change of a key in the store. It runs on the control
// goroutine.
type RecordHandler func(e store.Entry)

// Records dispatches changes in the store to the handlers registered for their
// keys. It is safe for concurrent use.
type Records struct {
	mu       sync.RWMutex
	handlers map[string]RecordHandler // by key prefix
	declared []string                 // further prefixes of keys that the node reads
}

func newRecords() *Records { return &Records{handlers: map[string]RecordHandler{}} }

// Handle registers the handler of all keys with a prefix. It must be called
// during setup, or earlier changes are missed.
func (r *Records) Handle(prefix string, h RecordHandler) {
	r.mu.Lock()
	r.handlers[prefix] = h
	r.mu.Unlock()
}

// Declare registers a prefix of keys that the node reads without a handler.
func (r *Records) Declare(prefix string) {
	r.mu.Lock()
	r.declared = append(r.declared, prefix)
	r.mu.Unlock()
}

// maxUnknownBytes is the largest value of a key that this node does not read but keeps, because
// nodes of a newer build may read it and copy the state from this one.
const maxUnknownBytes = 64 << 10

// Keeps reports whether the copy of the store holds an entry with a value of that size. Other
// programs keep keys of their own in the store; large ones are left out, since every node would
// hold them and pass them on.
func (r *Records) Keeps(key string, size int) bool {
	if size <= maxUnknownBytes {
		return true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for prefix := range r.handlers {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return slices.ContainsFunc(r.declared, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// Deliver passes a change to every handler whose prefix matches the key. Changes
// of other keys are ignored.
func (r *Records) Deliver(e store.Entry) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for prefix, h := range r.handlers {
		if strings.HasPrefix(e.Key, prefix) {
			h(e)
		}
	}
}
