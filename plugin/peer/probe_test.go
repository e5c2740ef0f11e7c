package peer

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

// gatedConn holds back reads until its gate is open, as a process does that runs late.
type gatedConn struct {
	net.Conn
	gate   chan struct{}
	closed chan struct{}
}

// Read implements io.Reader.
func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.gate:
	case <-c.closed:
	}
	return n, err
}

// Close implements io.Closer.
func (c gatedConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// probedSession returns a pool with a short probe timeout and a session to a node that answers
// pings. What arrives is read once gate is closed.
func probedSession(t *testing.T, gate chan struct{}) (*pool, *session) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.ProbeTimeout = 30 * time.Millisecond
	near, far := net.Pipe()
	server, err := yamux.Server(&conn{Conn: far}, cfg.yamuxConfig(zap.NewNop()))
	if err != nil {
		t.Fatal(err)
	}
	s := &session{addr: "far"}
	s.mux, err = yamux.Client(&conn{Conn: gatedConn{near, gate, make(chan struct{})}, lastRead: &s.lastRead}, cfg.yamuxConfig(zap.NewNop()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.mux.Close(); server.Close() })
	return &pool{cfg: cfg, log: zap.NewNop(), sessions: map[string]*session{"far": s}}, s
}

// TestSessionWhoseAnswerIsReadLateStaysOpen guards against calls lost because this node, not the
// other one, was late.
func TestSessionWhoseAnswerIsReadLateStaysOpen(t *testing.T) {
	gate := make(chan struct{})
	p, s := probedSession(t, gate)
	start := time.Now()
	p.awaitTurn = func(time.Duration) {
		close(gate)
		for end := time.Now().Add(10 * time.Second); !s.lastRead.load().After(start) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	p.probe(s)
	if s.mux.IsClosed() {
		t.Fatal("the session was closed although the answer had arrived")
	}
}

func TestSilentSessionIsClosed(t *testing.T) {
	p, s := probedSession(t, make(chan struct{}))
	p.awaitTurn = func(time.Duration) {}
	p.probe(s)
	if !s.mux.IsClosed() {
		t.Fatal("the silent session is still open")
	}
}
