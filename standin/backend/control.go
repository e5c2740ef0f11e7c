package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Control changes the behaviour of a running server. A field that is absent
// from a request leaves its setting as it is.
type Control struct {
	// ServiceTimeMs is the mean service time in milliseconds.
	ServiceTimeMs *float64 `json:"service_time_ms,omitempty"`
	// ExtraSlow multiplies the service time; 1 is normal.
	ExtraSlow *float64 `json:"extra_slow,omitempty"`
	// ShedAll refuses all work before it runs, as if out of connections.
	ShedAll *bool `json:"shed_all,omitempty"`
	// FailFast answers all work at once with 500, while load looks low.
	FailFast *bool `json:"fail_fast,omitempty"`
	// Freeze lets no work finish; load and health go on reporting.
	Freeze *bool `json:"freeze,omitempty"`
}

// behaviour is the state that Control changes. It is safe for concurrent use.
type behaviour struct {
	mu          sync.Mutex
	serviceTime time.Duration
	extraSlow   float64
	shedAll     bool
	failFast    bool
	thaw        chan struct{} // closed while work may finish
	frozen      bool
}

func newBehaviour(serviceTime time.Duration) *behaviour {
	thaw := make(chan struct{})
	close(thaw)
	return &behaviour{serviceTime: serviceTime, extraSlow: 1, thaw: thaw}
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
		b.freeze(*c.Freeze)
	}
}

func (b *behaviour) freeze(on bool) {
	if on == b.frozen {
		return
	}
	b.frozen = on
	if on {
		b.thaw = make(chan struct{})
	} else {
		close(b.thaw)
	}
}

// mean returns the mean service time with the slowness in force.
func (b *behaviour) mean() time.Duration {
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

// thawed returns a channel that is closed while work may finish.
func (b *behaviour) thawed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.thaw
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "malformed control: "+err.Error()+"; send JSON as in the documentation", http.StatusBadRequest)
		return
	}
	s.behaviour.apply(c)
	s.log.Info("control changed")
	w.WriteHeader(http.StatusOK)
}
