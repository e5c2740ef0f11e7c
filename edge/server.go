package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its head, and BodyTimeout from there to the end of its body.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout closes a connection without a request. It must exceed the time
	// after which callers still use one.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int64
	// MaxBodyBytes returns the bound of the body of the next request.
	MaxBodyBytes func() int64
	// MaxPipelined bounds the requests of one connection that are served at once.
	MaxPipelined int
	// Closing tells whether callers are to go elsewhere; answers then end their
	// connection. nil never does.
	Closing func() bool
}

// DefaultServerOptions suits callers that keep connections open.
func DefaultServerOptions() ServerOptions {
	return ServerOptions{
		HeaderTimeout:  10 * time.Second,
		BodyTimeout:    time.Minute,
		IdleTimeout:    2 * time.Minute,
		MaxHeaderBytes: 64 << 10,
		MaxBodyBytes:   func() int64 { return 64 << 20 },
		MaxPipelined:   32,
		Closing:        func() bool { return false },
	}
}

// callerSilence is how long sent bytes may stay unacknowledged by a caller.
const callerSilence = 5 * time.Second

// Server serves HTTP/1.1 with the parser and the handlers of net/http. Other than
// the server of net/http it serves pipelined requests at the same time, with
// their answers in order, and notices that a caller has left also behind further
// requests.
type Server struct {
	opts    ServerOptions
	handler http.Handler
	log     *zap.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
	stopping bool
}

// NewServer returns a server that is not listening yet.
func NewServer(h http.Handler, opts ServerOptions, log *zap.Logger) *Server {
	return &Server{opts: opts, handler: h, log: log, conns: map[*serverConn]struct{}{}}
}

// acceptPause is the wait after a failed accept, for example without a free file
// descriptor.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until Shutdown, and then returns
// http.ErrServerClosed.
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
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) start(nc net.Conn) {
	if err := sockopt.Configure(nc, callerSilence); err != nil {
		s.log.Warn("caller_connection_unguarded", zap.Stringer("remote", nc.RemoteAddr()), zap.Error(err))
	}
	c := newServerConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// closing tells whether an answer is to end its connection.
func (s *Server) closing() bool { return s.opts.Closing() || s.isStopping() }

// shutdownPoll is the time between two looks whether all connections have ended.
const shutdownPoll = 10 * time.Millisecond

// Shutdown stops accepting, closes connections that carry no request, and waits
// until the others have ended; those left when ctx ends are cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		left := len(s.conns)
		for c := range s.conns {
			c.closeIfIdle()
		}
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-time.After(shutdownPoll):
		case <-ctx.Done():
			s.cut()
			return ctx.Err()
		}
	}
}

func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
}
