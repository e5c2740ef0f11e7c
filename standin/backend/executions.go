package backend

import (
	"net/http"
	"sync"
	"time"
)

// Execution is one request that took a slot.
type Execution struct {
	ID       string `json:"id"`            // X-Request-Id
	Key      string `json:"key,omitempty"` // Idempotency-Key
	Path     string `json:"path"`
	Finished bool   `json:"finished"` // ended with a whole answer
}

// Executions is the answer of GET /executions.
type Executions struct {
	Service  string      `json:"service"`
	List     []Execution `json:"executions"`
	Shed     int         `json:"shed"`     // refused before they ran
	Canceled int         `json:"canceled"` // stopped because the caller had gone
	Expired  int         `json:"expired"`  // given up at their deadline
	// ForeignCalls counts answers to the server's own calls that were broken
	// or another request's.
	ForeignCalls int `json:"foreign_calls"`
	// LastStartAfterDrainMs is how long after the drain the last execution
	// started, in milliseconds; 0 if none did.
	LastStartAfterDrainMs int64 `json:"last_start_after_drain_ms"`
}

// recorder keeps what was executed. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	record  Executions
	drained time.Time
}

// start records an execution and returns its index for finish.
func (r *recorder) start(now time.Time, e Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.List = append(r.record.List, e)
	if !r.drained.IsZero() {
		r.record.LastStartAfterDrainMs = max(now.Sub(r.drained).Milliseconds(), 1)
	}
	return len(r.record.List) - 1
}

func (r *recorder) finish(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.List[index].Finished = true
}

func (r *recorder) drain(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = now
}

func (r *recorder) count(f func(*Executions)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.record)
}

func (r *recorder) snapshot() Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.record
	out.List = append([]Execution{}, r.record.List...)
	return out
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	out := s.recorder.snapshot()
	out.Service = s.opts.Service
	writeJSON(w, out)
}
