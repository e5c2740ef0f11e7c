package kernel

import (
	"strings"
	"sync"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// RecordHandler takes a change of a key of the store; it runs on the control
// goroutine.
type RecordHandler func(e store.Entry)

// Records hands the keys of the store to those who read them.
type Records struct {
	mu       sync.RWMutex
	handlers map[string]RecordHandler // by prefix
}

func newRecords() *Records { return &Records{handlers: map[string]RecordHandler{}} }

// Handle sets the handler of the keys below a prefix; call it during setup.
func (r *Records) Handle(prefix string, h RecordHandler) {
	r.mu.Lock()
	r.handlers[prefix] = h
	r.mu.Unlock()
}

// Deliver hands a change to its handler; keys without a handler are not read.
func (r *Records) Deliver(e store.Entry) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for prefix, h := range r.handlers {
		if strings.HasPrefix(e.Key, prefix) {
			h(e)
		}
	}
}
