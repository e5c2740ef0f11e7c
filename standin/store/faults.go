package store

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Faults are the faults that the stand-in brings about.
type Faults struct {
	Down         bool `json:"down"`          // answers 503; nothing takes effect
	SlowMS       int  `json:"slow_ms"`       // waits this many milliseconds before each call takes effect
	Silent       bool `json:"silent"`        // accepts calls and never answers; nothing takes effect
	LoseRequests int  `json:"lose_requests"` // the next N writes are cut off before they take effect
	LoseAnswers  int  `json:"lose_answers"`  // the next N writes are cut off after they took effect
	LoseWatch    bool `json:"lose_watch"`    // watches are accepted and never answered
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force, with the counts that are left.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults(), nil) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, f, nil)
}

// before applies the faults that precede a call, and says whether it goes on.
// A slow call takes effect even if its caller has given up.
func (s *Server) before(w http.ResponseWriter, r *http.Request, kind string, write bool) bool {
	f := s.Faults()
	if f.SlowMS > 0 {
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	}
	switch {
	case f.Silent, f.LoseWatch && kind == "watch":
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a lost caller only after the body
		<-r.Context().Done()
		return false
	case f.Down:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return false
	case write && s.takeLostRequest():
		cut(w)
		return false
	}
	return true
}

func (s *Server) takeLostRequest() bool { return s.take(&s.faults.LoseRequests) }

func (s *Server) takeLostAnswer() bool { return s.take(&s.faults.LoseAnswers) }

func (s *Server) take(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// cut closes the connection without an answer.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}
