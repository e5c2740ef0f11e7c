package peer

import (
	"bufio"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session to another node.
type session struct {
	addr     string
	mux      *yamux.Session
	lastRead atomicTime // when the last byte was read
	probing  atomic.Bool

	mu            sync.Mutex
	activeStreams int // streams in use
	idle          []*stream
	activeSince   time.Time // when activeStreams last rose from zero
	lastUse       time.Time
}

type sessionState int

const (
	stateLive   sessionState = iota
	stateSilent              // calls are in flight, but nothing has arrived for longer than ProbeAfter
	stateIdle                // has carried no calls for longer than IdleTimeout
)

// acquire counts a stream as in use. It reports false if limit streams are in use
// already.
func (s *session) acquire(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeStreams >= limit {
		return false
	}
	if s.activeStreams == 0 {
		s.activeSince = time.Now()
	}
	s.activeStreams++
	return true
}

// maxIdleStreams bounds the idle streams of one session.
const maxIdleStreams = 16

// stream carries attempts one after the other, so that each can refer to headers and
// contexts sent before.
type stream struct {
	mux      *yamux.Stream
	br       *bufio.Reader
	contexts contextEncoder // of requests
	headers  *headerDecoder // of answers
	lastUse  time.Time      // when the last attempt ended
}

func newStream(mux *yamux.Stream) *stream {
	return &stream{mux: mux, br: bufio.NewReader(mux), contexts: contextEncoder{}, headers: newHeaderDecoder()}
}

// release ends the use of a stream. If reuse is set and there is room, the stream is
// kept for another attempt, otherwise it is closed. st is nil if no stream was
// opened.
func (s *session) release(st *stream, reuse bool) {
	now := time.Now()
	s.mu.Lock()
	s.activeStreams--
	s.lastUse = now
	keep := st != nil && reuse && len(s.idle) < maxIdleStreams
	if keep {
		st.lastUse = now
		s.idle = append(s.idle, st)
	}
	s.mu.Unlock()
	if st != nil && !keep {
		st.mux.Close()
	}
}

// takeIdle returns the most recently used idle stream, or nil if there is none.
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

// closeIdle closes the idle streams that were last used before cutoff. Idle streams
// are ordered by last use, since takeIdle takes the most recent one.
func (s *session) closeIdle(cutoff time.Time) {
	s.mu.Lock()
	n := 0
	for n < len(s.idle) && s.idle[n].lastUse.Before(cutoff) {
		n++
	}
	expired := s.idle[:n]
	s.idle = s.idle[n:]
	s.mu.Unlock()
	for _, st := range expired {
		go st.mux.Close()
	}
}

func (s *session) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeStreams
}

func (s *session) state(now time.Time, cfg Config) sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeStreams == 0 {
		if now.Sub(s.lastUse) > cfg.IdleTimeout {
			return stateIdle
		}
		return stateLive
	}
	lastHeard := s.lastRead.load()
	if s.activeSince.After(lastHeard) {
		lastHeard = s.activeSince
	}
	if now.Sub(lastHeard) > cfg.ProbeAfter {
		return stateSilent
	}
	return stateLive
}
