package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is one connection to another node.
type session struct {
	addr     string
	mux      *yamux.Session
	lastRead atomic.Int64 // Unix time in nanoseconds of the last byte read
	probing  atomic.Bool

	mu      sync.Mutex
	streams int
	since   time.Time // when streams rose from zero
	lastUse time.Time
}

type sessionState int

const (
	stateLive sessionState = iota
	stateSilent
	stateIdle
)

// acquire counts a stream in unless the session carries max already.
func (s *session) acquire(max int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= max {
		return false
	}
	if s.streams == 0 {
		s.since = time.Now()
	}
	s.streams++
	return true
}

func (s *session) release() {
	s.mu.Lock()
	s.streams--
	s.lastUse = time.Now()
	s.mu.Unlock()
}

func (s *session) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}

func (s *session) state(now time.Time, cfg Config) sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == 0 {
		if now.Sub(s.lastUse) > cfg.IdleTimeout {
			return stateIdle
		}
		return stateLive
	}
	heard := time.Unix(0, s.lastRead.Load())
	if s.since.After(heard) {
		heard = s.since
	}
	if now.Sub(heard) > cfg.SilenceLimit {
		return stateSilent
	}
	return stateLive
}

// readClock notes the time of each read.
type readClock struct {
	net.Conn
	last *atomic.Int64
}

func (r *readClock) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		r.last.Store(time.Now().UnixNano())
	}
	return n, err
}
