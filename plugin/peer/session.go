package peer

import (
	"bufio"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is one connection to another node.
type session struct {
	addr     string
	mux      *yamux.Session
	lastRead instant // when the last byte was read
	probing  atomic.Bool

	mu      sync.Mutex
	streams int // in use
	idle    []*stream
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

// maxIdleStreams bounds the idle streams of one session.
const maxIdleStreams = 16

// stream carries attempts one after the other.
type stream struct {
	mux      *yamux.Stream
	br       *bufio.Reader
	contexts contextEncoder // of requests
	headers  *headerDecoder // of answers
	used     time.Time      // when the last attempt ended
}

func newStream(mux *yamux.Stream) *stream {
	return &stream{mux: mux, br: bufio.NewReader(mux), contexts: contextEncoder{}, headers: newHeaderDecoder()}
}

// release counts a stream out. It is kept for another attempt if reuse is set,
// else closed. st is nil if none was opened.
func (s *session) release(st *stream, reuse bool) {
	now := time.Now()
	s.mu.Lock()
	s.streams--
	s.lastUse = now
	keep := st != nil && reuse && len(s.idle) < maxIdleStreams
	if keep {
		st.used = now
		s.idle = append(s.idle, st)
	}
	s.mu.Unlock()
	if st != nil && !keep {
		st.mux.Close()
	}
}

// takeIdle returns the stream that was used last, or nil.
func (s *session) takeIdle() *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1
	st := s.idle[last]
	s.idle = s.idle[:last]
	return st
}

// closeIdle closes the streams that were not used since the given time. The
// oldest come first, since the one used last is taken first.
func (s *session) closeIdle(since time.Time) {
	s.mu.Lock()
	n := 0
	for n < len(s.idle) && s.idle[n].used.Before(since) {
		n++
	}
	old := s.idle[:n]
	s.idle = s.idle[n:]
	s.mu.Unlock()
	for _, st := range old {
		go st.mux.Close()
	}
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
	heard := s.lastRead.get()
	if s.since.After(heard) {
		heard = s.since
	}
	if now.Sub(heard) > cfg.SilenceLimit {
		return stateSilent
	}
	return stateLive
}
