package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleConnections per host is enough for every slot to make a call.
	idleConnections = 1024
	// quietPeriod without a request in flight ends a drain; calls that the
	// node had on their way may still arrive before.
	quietPeriod  = 300 * time.Millisecond
	quietPolling = 20 * time.Millisecond
)

// Server is one backend server. All methods are safe for concurrent use.
type Server struct {
	opts      *Options
	log       *zap.Logger
	listener  net.Listener
	http      *http.Server
	client    *http.Client
	calls     []subCall
	slots     *slots
	behaviour *behaviour
	recorder  *recorder
	random    *lockedRand
	started   time.Time
	load      *lagged[Load]
	health    *lagged[string]

	announcing sync.Mutex // held while the node is told

	draining  atomic.Bool
	drainOnce sync.Once
	drained   chan struct{} // closed when a drain begins
	exitOnce  sync.Once
	stop      chan struct{} // closed when the server exits
	exited    chan struct{} // closed when the last request has ended
}

// New opens the listener of a server. It returns an error of kind errs.Invalid
// for bad settings and errs.Unavailable if the address cannot be listened on.
func New(opts *Options) (*Server, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	calls, err := parseCalls(opts.Calls)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "choose a free address", "cannot listen on %s", opts.Listen)
	}
	s := &Server{
		opts:      opts,
		log:       opts.Logger,
		listener:  listener,
		calls:     calls,
		slots:     newSlots(opts.Slots, opts.Connections),
		behaviour: newBehaviour(opts.ServiceTime),
		recorder:  &recorder{},
		random:    &lockedRand{rng: rand.New(rand.NewPCG(opts.Seed, 0))},
		started:   time.Now(),
		drained:   make(chan struct{}),
		stop:      make(chan struct{}),
		exited:    make(chan struct{}),
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	s.load = newLagged(loadLag, Load{Slots: opts.Slots})
	s.health = newLagged(healthLag, s.state(s.started))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	s.http = &http.Server{Handler: s.mux(), ReadHeaderTimeout: readHeaderTimeout}
	return s, nil
}

func (s *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /executions", s.handleExecutions)
	mux.HandleFunc("PUT /control", s.handleControl)
	mux.HandleFunc("POST /drain", s.handleDrain)
	mux.HandleFunc("/", s.handleWork)
	return mux
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Main serves until Exit has finished, or returns the error that ended it.
func (s *Server) Main() error {
	go s.sampleReports()
	go s.announce()
	s.log.Info("backend server started", zap.String("service", s.opts.Service), zap.String("address", s.Addr()))
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return errs.Wrap(err, errs.Internal, "restart the backend server", "serving stopped")
	}
	<-s.exited
	return nil
}

// Drain withdraws the server from its node. Requests that still arrive are
// executed, and counted in Executions.LastStartAfterDrainMs.
func (s *Server) Drain() {
	s.drainOnce.Do(func() {
		s.draining.Store(true)
		s.recorder.drain(time.Now())
		close(s.drained)
		s.withdraw()
		s.log.Info("drain begun")
	})
}

// Exit drains, finishes the requests in flight within Options.DrainTimeout and
// ends Main.
func (s *Server) Exit() {
	s.exitOnce.Do(func() {
		s.Drain()
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.DrainTimeout)
		defer cancel()
		s.waitQuiet(ctx)
		if err := s.http.Shutdown(ctx); err != nil {
			s.log.Warn("requests were cut off at the drain timeout", zap.Error(err))
			s.http.Close()
		}
		close(s.stop)
		close(s.exited)
		s.log.Info("backend server stopped")
	})
}

// waitQuiet waits until no request has been in flight for quietPeriod.
func (s *Server) waitQuiet(ctx context.Context) {
	ticker := time.NewTicker(quietPolling)
	defer ticker.Stop()
	since := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.slots.inside.Load() > 0 {
				since = now
			}
			if now.Sub(since) >= quietPeriod {
				return
			}
		}
	}
}

func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusOK)
}
