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
	// maxIdleConnsPerHost lets every slot keep a connection to the node.
	maxIdleConnsPerHost = 1024
	// idlePeriod without a request in flight ends the wait in Exit. Calls that
	// the node sent before the withdrawal may still arrive during this time.
	idlePeriod       = 300 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
)

// Server is a stand-in backend server. All methods are safe for concurrent use.
type Server struct {
	opts         *Options
	log          *zap.Logger
	listener     net.Listener
	httpServer   *http.Server
	client       *http.Client
	calls        []subCall
	slots        *slots
	behaviour    *behaviour
	recorder     *recorder
	random       *lockedRand
	started      time.Time
	loadReport   *lagged[Load]
	healthReport *lagged[string]

	announceMu sync.Mutex // serializes announcements and the withdrawal

	draining     atomic.Bool
	drainOnce    sync.Once
	drainStarted chan struct{} // closed by Drain
	exitOnce     sync.Once
	stop         chan struct{} // closed by Exit; ends the background goroutines
	exited       chan struct{} // closed when the last request has ended; ends Main
}

// New creates a server and opens its listener. It returns an error of kind
// errs.Invalid for bad settings, and of kind errs.Unavailable if it cannot
// listen on the address.
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
		return nil, errs.Wrap(err, errs.Unavailable, "set --listen to a free address", "cannot listen on %s", opts.Listen)
	}
	s := &Server{
		opts:         opts,
		log:          opts.Logger,
		listener:     listener,
		calls:        calls,
		slots:        newSlots(opts.Slots, opts.Connections),
		behaviour:    newBehaviour(opts.ServiceTime),
		recorder:     &recorder{},
		random:       &lockedRand{rng: rand.New(rand.NewPCG(opts.Seed, 0))},
		started:      time.Now(),
		drainStarted: make(chan struct{}),
		stop:         make(chan struct{}),
		exited:       make(chan struct{}),
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	s.loadReport = newLagged(loadReportLag, Load{Slots: opts.Slots})
	s.healthReport = newLagged(healthReportLag, s.currentHealth(s.started))
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	s.httpServer = &http.Server{Handler: s.mux(), ReadHeaderTimeout: readHeaderTimeout}
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

// Main serves requests until Exit has finished, or returns the error that
// stopped it.
func (s *Server) Main() error {
	go s.sampleReports()
	go s.announce()
	s.log.Info("backend server started", zap.String("service", s.opts.Service), zap.String("address", s.Addr()))
	err := s.httpServer.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return errs.Wrap(err, errs.Internal, "restart the backend server", "serving stopped")
	}
	<-s.exited
	return nil
}

// Drain withdraws the server from its node. Requests that still arrive are
// executed; Executions.LastStartAfterDrainMs shows how late the last of them
// started.
func (s *Server) Drain() {
	s.drainOnce.Do(func() {
		s.draining.Store(true)
		s.recorder.markDrainStart(time.Now())
		close(s.drainStarted)
		s.withdraw()
		s.log.Info("drain started")
	})
}

// Exit drains the server, waits up to Options.DrainTimeout for the requests in
// flight and ends Main.
func (s *Server) Exit() {
	s.exitOnce.Do(func() {
		s.Drain()
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.DrainTimeout)
		defer cancel()
		s.waitIdle(ctx)
		if err := s.httpServer.Shutdown(ctx); err != nil {
			s.log.Warn("requests were cut off at the drain timeout", zap.Error(err))
			s.httpServer.Close()
		}
		close(s.stop)
		close(s.exited)
		s.log.Info("backend server stopped")
	})
}

// waitIdle waits until no request has been in flight for idlePeriod, or until
// ctx ends.
func (s *Server) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.slots.inFlight.Load() > 0 {
				idleSince = now
			}
			if now.Sub(idleSince) >= idlePeriod {
				return
			}
		}
	}
}

func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusOK)
}
