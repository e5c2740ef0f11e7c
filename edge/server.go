package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// HeaderTimeout returns the bound on the time from the first byte of a request to
	// the end of its head. A shorter one frees what a stalled caller holds earlier.
	HeaderTimeout func() time.Duration
	// BodyTimeout bounds the time from the end of the head to the end of the body.
	BodyTimeout time.Duration
	// BodyStallTimeout bounds the time in which the next part of a body must arrive.
	BodyStallTimeout time.Duration
	// RoomTimeout bounds the wait for room in Heads, and in Bodies where the handler sets
	// no bound.
	RoomTimeout time.Duration
	// Bodies bounds the memory of all request bodies; nil for no bound.
	Bodies *bodybudget.Budget
	// Heads bounds the memory of the heads of all requests.
	Heads *headbudget.Heads
	// RefuseHead answers a request whose head got no room in Heads. It has not run.
	RefuseHead func(http.ResponseWriter)
	// IdleTimeout returns how long a connection may be idle before it is closed. It must
	// exceed the idle time after which callers still reuse a connection.
	IdleTimeout func() time.Duration
	// MaxHeaderBytes returns the size limit of the head of the next request.
	MaxHeaderBytes func() int64
	// MaxBodyBytes returns the size limit of the body of the next request.
	MaxBodyBytes func() int64
	// MaxPipelined limits the requests of one connection that are served
	// concurrently.
	MaxPipelined int
	// MaxConns limits the connections; 0 for no limit. Beyond it, a new connection takes the
	// place of one on which no request is in flight, which may exist for a moment longer.
	MaxConns int
	// Closing reports whether callers should use another node. Answers then end
	// their connection. It must not be nil.
	Closing func() bool
}

// DefaultServerOptions returns options for callers that keep connections open.
func DefaultServerOptions() ServerOptions {
	return ServerOptions{
		HeaderTimeout:    func() time.Duration { return 10 * time.Second },
		BodyTimeout:      time.Minute,
		BodyStallTimeout: 10 * time.Second,
		RoomTimeout:      2 * time.Second,
		Heads:            headbudget.NewHeads(headbudget.DefaultMemory),
		RefuseHead:       refuseHead,
		IdleTimeout:      func() time.Duration { return 2 * time.Minute },
		MaxHeaderBytes:   func() int64 { return 64 << 10 },
		MaxBodyBytes:     func() int64 { return 64 << 20 },
		MaxPipelined:     32,
		Closing:          func() bool { return false },
	}
}

// callerUnackedTimeout is how long bytes sent to a caller may stay unacknowledged.
const callerUnackedTimeout = 5 * time.Second

// Server serves HTTP/1.1 with the request parser and the handler interface of
// net/http. Unlike http.Server, it serves pipelined requests concurrently, with their
// answers in order, and detects that a caller has disconnected even if further
// requests are waiting on the connection.
type Server struct {
	opts    ServerOptions
	handler http.Handler
	log     *zap.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	stopping bool
	full     fullLog
}

// fullLog says how often connections had to give way, in at most one line a second.
type fullLog struct {
	closed int // since the last line
	last   time.Time
}

// NewServer returns a server. Serve starts it.
func NewServer(h http.Handler, opts ServerOptions, log *zap.Logger) *Server {
	return &Server{opts: opts, handler: h, log: log, conns: map[*serverConn]struct{}{}}
}

// acceptRetryDelay is the delay after a failed accept, for example because no file
// descriptor is free.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until Shutdown is called, and then returns
// http.ErrServerClosed. If ln is closed in another way, it returns an error that wraps
// net.ErrClosed. It retries after all other errors.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case s.isStopping():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			s.log.Warn("accept_failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) start(nc net.Conn) {
	if err := sockopt.Configure(nc, callerUnackedTimeout); err != nil {
		s.log.Warn("caller_connection_unguarded", zap.Stringer("remote", nc.RemoteAddr()), zap.Error(err))
	}
	c := newServerConn(s, nc)
	if !s.addConn(c) {
		nc.Close()
		return
	}
	go c.serve()
}

// addConn adds a connection, and reports false if there is no place for it. If there are too many, it
// waits until one may be closed in its place.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.opts.MaxConns; limit > 0 && len(s.conns) >= limit {
		s.logFull()
		if !s.evictInTime() || len(s.conns) >= limit+max(limit/evictedFraction, 1) {
			return false
		}
	}
	s.conns[c] = struct{}{}
	return true
}

const (
	// minConnWait is how long a connection has at least to send a request, however many clients
	// connect: a node without processor time may take that long to read what has arrived.
	minConnWait = 100 * time.Millisecond
	// evictInterval is the time between two looks for a connection that has waited that long.
	evictInterval = 5 * time.Millisecond
)

// evictInTime closes a connection on which no request is in flight, and reports whether there was any
// that has waited for minConnWait, or comes to. The caller must hold mu, which is released meanwhile.
func (s *Server) evictInTime() bool {
	for end := time.Now().Add(minConnWait); ; {
		now := time.Now()
		if s.evict(now.Add(-minConnWait)) {
			return true
		}
		if now.After(end) || s.stopping {
			return false
		}
		s.mu.Unlock()
		time.Sleep(evictInterval)
		s.mu.Lock()
		if len(s.conns) < s.opts.MaxConns {
			return true
		}
	}
}

// logFullInterval is the time between two lines of fullLog.
const logFullInterval = time.Second

// logFull counts a connection that is closed because there are too many. The caller must hold mu.
func (s *Server) logFull() {
	s.full.closed++
	if now := time.Now(); now.Sub(s.full.last) >= logFullInterval {
		s.log.Warn("connections_full", zap.Stringer("addr", s.listener.Addr()), zap.Int("limit", s.opts.MaxConns), zap.Int("closed", s.full.closed))
		s.full = fullLog{last: now}
	}
}

// evictedFraction is the part of MaxConns, as its divisor, by which connections that have been
// closed, but have not ended, may exceed it.
const evictedFraction = 16

// evictSample is the number of connections among which evict chooses.
const evictSample = 16

// evict closes one of a few connections on which no request has been in flight since cutoff, and reports
// whether there was any. It prefers those on which a head is arriving, since a caller that behaves sends
// it at once, and of those the one that has taken longest. The caller must hold mu.
func (s *Server) evict(cutoff time.Time) bool {
	var victim *serverConn
	var worst waitState
	n := 0
	for c := range s.conns {
		state, waits := c.waitState()
		if waits && state.since.Before(cutoff) && (victim == nil || state.isWorse(worst)) {
			victim, worst = c, state
		}
		if n++; n >= evictSample && victim != nil {
			break
		}
	}
	return victim != nil && victim.closeIfWaiting()
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// closing reports whether answers should end their connection.
func (s *Server) closing() bool { return s.opts.Closing() || s.isStopping() }

// shutdownPollInterval is the time between two checks whether all connections have
// ended.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown stops accepting connections, closes idle ones, and waits until the others
// have ended. If ctx ends first, it closes the remaining ones and returns the error of
// ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		remaining := len(s.conns)
		for c := range s.conns {
			c.closeIfIdle()
		}
		s.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-time.After(shutdownPollInterval):
		case <-ctx.Done():
			s.closeAll()
			return ctx.Err()
		}
	}
}

// closeAll closes all connections immediately.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.netConn.Close()
	}
}
