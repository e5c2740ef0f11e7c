package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	loadReportLag   = 2 * time.Second
	healthReportLag = time.Second
	sampleInterval  = 100 * time.Millisecond
)

// States returned by GET /health.
const (
	HealthOK       = "ok"
	HealthCold     = "cold"
	HealthDraining = "draining"
)

// Load is the answer to GET /load. Its figures are at least loadReportLag old.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"` // requests queued or executing
}

// lagged holds a value that readers see only after a fixed lag. It is safe for
// concurrent use.
type lagged[T any] struct {
	lag     time.Duration
	mu      sync.Mutex
	current T
	pending []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

func newLagged[T any](lag time.Duration, initial T) *lagged[T] {
	return &lagged[T]{lag: lag, current: initial}
}

// put stores a value that get returns once the lag has passed.
func (l *lagged[T]) put(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.pending = append(l.pending, sample[T]{at: now, value: value})
}

// get returns the latest value whose lag has passed by now.
func (l *lagged[T]) get(now time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.current
}

func (l *lagged[T]) advance(now time.Time) {
	for len(l.pending) > 0 && now.Sub(l.pending[0].at) >= l.lag {
		l.current = l.pending[0].value
		l.pending = l.pending[1:]
	}
}

// sampleReports records load and health at each sampleInterval until the server
// stops.
func (s *Server) sampleReports() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.loadReport.put(now, Load{Slots: s.opts.Slots, InFlight: int(s.slots.inFlight.Load())})
			s.healthReport.put(now, s.currentHealth(now))
		case <-s.stop:
			return
		}
	}
}

// currentHealth returns the health without the lag of GET /health.
func (s *Server) currentHealth(now time.Time) string {
	switch {
	case s.draining.Load():
		return HealthDraining
	case s.isCold(now):
		return HealthCold
	}
	return HealthOK
}

func (s *Server) isCold(now time.Time) bool { return now.Sub(s.started) < s.opts.Warmup }

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.loadReport.get(time.Now()))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte(s.healthReport.get(time.Now()) + "\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
