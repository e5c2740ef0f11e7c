package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

// pool keeps one session to each node that this node calls. It implements
// kernel.Transport.
type pool struct {
	cfg         Config
	log         *zap.Logger
	sourceNode  string
	yamuxConfig *yamux.Config
	// replica provides the state revision to send and receives those of other nodes.
	replica kernel.Replica
	heads   *headbudget.Heads
	dialer  *net.Dialer
	// exchangeBytes counts the payload bytes of control state exchanges.
	exchangeBytes metrics.Counter
	awaitTurn     func(limit time.Duration) // kernel.AwaitTurn but in tests

	mu       sync.Mutex
	sessions map[string]*session
	dials    map[string]*pendingDial
	closed   bool
}

// pendingDial is a connection attempt that several calls may wait for.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

func newPool(cfg Config, k *kernel.Kernel) *pool {
	return &pool{
		cfg: cfg, log: k.Log, sourceNode: k.NodeID, yamuxConfig: cfg.yamuxConfig(k.Log), replica: k.Replica, heads: k.Heads,
		dialer:        sockopt.Dialer(cfg.DialTimeout, cfg.UnackedTimeout),
		exchangeBytes: metrics.GetOrRegisterCounter("control.exchange_bytes", k.Metrics),
		awaitTurn:     kernel.AwaitTurn,
		sessions:      map[string]*session{}, dials: map[string]*pendingDial{},
	}
}

// openStream returns a stream to addr, an idle one if there is any, and its session.
// The caller must call session.release when it is done.
func (p *pool) openStream(ctx context.Context, addr string) (*stream, *session, error) {
	s, err := p.session(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	if !s.acquire(p.cfg.MaxStreams) {
		return nil, nil, errs.New(errs.Unavailable, "retry at another node", "session to %s carries %d calls", addr, p.cfg.MaxStreams)
	}
	if st := s.takeIdle(); st != nil {
		return st, s, nil
	}
	mux, err := s.mux.OpenStream()
	if err != nil {
		s.release(nil, false)
		p.drop(s)
		return nil, nil, errs.Wrap(err, errs.Unavailable, "retry at another node", "session to %s is broken", addr)
	}
	return newStream(mux), s, nil
}

// session returns the session to addr and dials if there is none.
func (p *pool) session(ctx context.Context, addr string) (*session, error) {
	p.mu.Lock()
	if s := p.sessions[addr]; s != nil && !s.mux.IsClosed() {
		p.mu.Unlock()
		return s, nil
	}
	d := p.dials[addr]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		p.dials[addr] = d
		go p.connect(addr, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.Unavailable, "retry at another node", "no connection to %s in time", addr)
	}
}

// connect dials addr and passes the session or the error to all calls that wait for d.
func (p *pool) connect(addr string, d *pendingDial) {
	d.session, d.err = p.dial(addr)
	p.mu.Lock()
	delete(p.dials, addr)
	if d.err == nil && p.closed {
		d.session.mux.Close()
		d.err = errs.New(errs.Unavailable, "call another node", "this node has stopped")
	}
	if d.err == nil {
		p.sessions[addr] = d.session
	}
	p.mu.Unlock()
	close(d.done)
}

func (p *pool) dial(addr string) (*session, error) {
	nc, err := p.dialer.Dial("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "retry at another node", "node %s does not accept connections", addr)
	}
	s := &session{addr: addr, lastUse: time.Now()}
	s.lastRead.store(s.lastUse)
	s.mux, err = yamux.Client(&conn{Conn: nc, lastRead: &s.lastRead}, p.yamuxConfig)
	if err != nil {
		nc.Close()
		return nil, errs.Wrap(err, errs.Internal, "report this fault", "session to %s cannot be set up", addr)
	}
	p.log.Debug("peer_connected", zap.String("addr", addr))
	return s, nil
}

// drop closes a session and removes it, so that the next call dials again.
func (p *pool) drop(s *session) {
	p.mu.Lock()
	if p.sessions[s.addr] == s {
		delete(p.sessions, s.addr)
	}
	p.mu.Unlock()
	s.mux.Close()
}

// monitorSessions probes silent sessions and closes idle ones until ctx ends.
func (p *pool) monitorSessions(ctx context.Context) {
	ticker := time.NewTicker(p.cfg.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.checkSessions(now)
		case <-ctx.Done():
			return
		}
	}
}

func (p *pool) checkSessions(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.sessions {
		s.closeIdle(now.Add(-p.cfg.StreamIdleTimeout))
		switch s.state(now, p.cfg) {
		case stateSilent:
			if s.probing.CompareAndSwap(false, true) {
				go p.probe(s)
			}
		case stateIdle:
			delete(p.sessions, addr)
			go s.mux.Close()
		}
	}
}

// maxTurnWait bounds how long the end of a probe waits until this process runs on time.
const maxTurnWait = 2 * time.Second

// probe pings a silent session. If nothing at all arrives before the ping times out,
// the session is closed and its calls are lost.
func (p *pool) probe(s *session) {
	defer s.probing.Store(false)
	start := time.Now()
	err := p.ping(s)
	if err == nil || s.lastRead.load().After(start) {
		return
	}
	p.awaitTurn(maxTurnWait)
	if s.lastRead.load().After(start) {
		return
	}
	p.log.Warn("peer_session_lost", zap.String("addr", s.addr), zap.Int("in_flight", s.inFlight()),
		zap.Duration("silent", time.Since(s.lastRead.load())), zap.Error(err))
	p.drop(s)
}

// ping waits for the answer to a ping for at most ProbeTimeout.
func (p *pool) ping(s *session) error {
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-time.After(p.cfg.ProbeTimeout):
		return errs.New(errs.Unavailable, "retry at another node", "no answer to a ping within %v", p.cfg.ProbeTimeout)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		s.mux.Close()
	}
	p.sessions = map[string]*session{}
}
