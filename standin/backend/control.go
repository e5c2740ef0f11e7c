package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Control is the body of PUT /control, which changes the behaviour of a running
// server. Absent fields leave their settings unchanged.
type Control struct {
	// ServiceTimeMs is the mean service time in milliseconds.
	ServiceTimeMs *float64 `json:"service_time_ms,omitempty"`
	// ExtraSlow is a factor on the service time. The default is 1.
	ExtraSlow *float64 `json:"extra_slow,omitempty"`
	// ShedAll sheds every request before it runs, as at the connection limit.
	ShedAll *bool `json:"shed_all,omitempty"`
	// FailFast answers every request at once with status 500, so that a
	// failing server reports low load.
	FailFast *bool `json:"fail_fast,omitempty"`
	// Freeze keeps requests from finishing. GET /load and GET /health keep
	// reporting.
	Freeze *bool `json:"freeze,omitempty"`
}

// behaviour holds the settings that Control changes. It is safe for concurrent
// use.
type behaviour struct {
	mu          sync.Mutex
	serviceTime time.Duration
	extraSlow   float64
	shedAll     bool
	failFast    bool
	unfrozen    chan struct{} // closed while the server is not frozen
	frozen      bool
}

func newBehaviour(serviceTime time.Duration) *behaviour {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &behaviour{serviceTime: serviceTime, extraSlow: 1, unfrozen: unfrozen}
}

func (b *behaviour) apply(c Control) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.ServiceTimeMs != nil {
		b.serviceTime = time.Duration(*c.ServiceTimeMs * float64(time.Millisecond))
	}
	if c.ExtraSlow != nil {
		b.extraSlow = *c.ExtraSlow
	}
	if c.ShedAll != nil {
		b.shedAll = *c.ShedAll
	}
	if c.FailFast != nil {
		b.failFast = *c.FailFast
	}
	if c.Freeze != nil {
		b.setFrozen(*c.Freeze)
	}
}

func (b *behaviour) setFrozen(frozen bool) {
	if frozen == b.frozen {
		return
	}
	b.frozen = frozen
	if frozen {
		b.unfrozen = make(chan struct{})
	} else {
		close(b.unfrozen)
	}
}

// meanServiceTime returns the mean service time multiplied by extraSlow.
func (b *behaviour) meanServiceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.serviceTime) * b.extraSlow)
}

func (b *behaviour) shedsAll() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shedAll
}

func (b *behaviour) failsFast() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failFast
}

// unfrozenChan returns a channel that is closed while the server is not frozen.
func (b *behaviour) unfrozenChan() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfrozen
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed control: "+err.Error()+"; send JSON as in the documentation", http.StatusBadRequest)
		return
	}
	s.behaviour.apply(c)
	s.log.Info("behaviour changed by PUT /control")
	w.WriteHeader(http.StatusOK)
}
