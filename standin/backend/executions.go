package backend

import (
	"net/http"
	"sync"
	"time"
)

// Execution is a request that was given a slot.
type Execution struct {
	ID       string `json:"id"`            // X-Request-Id header
	Key      string `json:"key,omitempty"` // Idempotency-Key header
	Path     string `json:"path"`
	Team     string `json:"team,omitempty"`     // TeamHeader
	KeySeen  bool   `json:"key_seen,omitempty"` // the request had an Authorization header
	Finished bool   `json:"finished"`           // the complete answer was written
}

// Executions is the answer to GET /executions.
type Executions struct {
	Service  string      `json:"service"`
	List     []Execution `json:"executions"`
	Shed     int         `json:"shed"`     // requests shed before they ran
	Canceled int         `json:"canceled"` // requests whose caller disconnected
	Expired  int         `json:"expired"`  // requests whose deadline passed
	// ForeignCalls counts answers to the server's own calls whose body was
	// corrupt or belonged to another request.
	ForeignCalls int `json:"foreign_calls"`
	// LastStartAfterDrainMs is the time in milliseconds from the start of the
	// drain to the start of the last execution. It is 0 if no execution started
	// after the start of the drain, and at least 1 otherwise.
	LastStartAfterDrainMs int64 `json:"last_start_after_drain_ms"`
}

// recorder collects the report of Executions. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	executions Executions
	drainStart time.Time
}

// start records the start of an execution and returns its index for finish.
func (r *recorder) start(now time.Time, e Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions.List = append(r.executions.List, e)
	if !r.drainStart.IsZero() {
		r.executions.LastStartAfterDrainMs = max(now.Sub(r.drainStart).Milliseconds(), 1)
	}
	return len(r.executions.List) - 1
}

func (r *recorder) finish(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions.List[index].Finished = true
}

func (r *recorder) markDrainStart(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainStart = now
}

func (r *recorder) update(f func(*Executions)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.executions)
}

func (r *recorder) snapshot() Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.executions
	out.List = append([]Execution{}, r.executions.List...)
	return out
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	out := s.recorder.snapshot()
	out.Service = s.opts.Service
	writeJSON(w, out)
}
