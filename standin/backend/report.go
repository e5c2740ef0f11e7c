package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	loadLag        = 2 * time.Second
	healthLag      = time.Second
	sampleInterval = 100 * time.Millisecond
)

// States that GET /health answers with.
const (
	HealthOK       = "ok"
	HealthCold     = "cold"
	HealthDraining = "draining"
)

// Load is the answer of GET /load. It is two seconds old.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"` // requests waiting or executed
}

// lagged delivers values some time after they were put in. It is safe for
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

func newLagged[T any](lag time.Duration, first T) *lagged[T] {
	return &lagged[T]{lag: lag, current: first}
}

func (l *lagged[T]) put(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.pending = append(l.pending, sample[T]{at: now, value: value})
}

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

// sampleReports feeds the lagging reports until the server stops.
func (s *Server) sampleReports() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.load.put(now, Load{Slots: s.opts.Slots, InFlight: int(s.slots.inside.Load())})
			s.health.put(now, s.state(now))
		case <-s.stop:
			return
		}
	}
}

// state returns the health without its lag.
func (s *Server) state(now time.Time) string {
	switch {
	case s.draining.Load():
		return HealthDraining
	case s.cold(now):
		return HealthCold
	}
	return HealthOK
}

func (s *Server) cold(now time.Time) bool { return now.Sub(s.started) < s.opts.Warmup }

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.load.get(time.Now()))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte(s.health.get(time.Now()) + "\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
