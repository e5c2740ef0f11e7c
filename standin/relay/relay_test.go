package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	shortWait = 150 * time.Millisecond
	longWait  = 10 * time.Second
)

// echoServer returns the address of a server that sends back what it reads.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T) *Relay {
	t.Helper()
	r, err := New(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends five bytes and reads them back within timeout.
func echo(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte("hello")); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(conn, make([]byte, 5))
	return err
}

func TestSilenceAffectsExistingConnectionsOnly(t *testing.T) {
	for _, d := range []Direction{ToTarget, ToDialer, Both} {
		r := startRelay(t)
		old := dial(t, r)
		if err := echo(old, longWait); err != nil {
			t.Fatal(err)
		}
		r.Silence(d)
		if err := echo(old, shortWait); !os.IsTimeout(err) {
			t.Fatalf("direction %d: got %v, want a timeout on the silent connection", d, err)
		}
		if err := echo(dial(t, r), longWait); err != nil {
			t.Fatalf("direction %d: new connection failed: %v", d, err)
		}
	}
}

func TestSilenceHidesConnectionClose(t *testing.T) {
	r := startRelay(t)
	conn := dial(t, r)
	if err := echo(conn, longWait); err != nil {
		t.Fatal(err)
	}
	r.Silence(ToTarget)
	conn.Close()
	time.Sleep(shortWait)
	if n := r.Connections(); n != 1 {
		t.Fatalf("%d connections are open, want 1: the target's end must stay open", n)
	}
}

func TestCutFailsExistingConnections(t *testing.T) {
	r := startRelay(t)
	conn := dial(t, r)
	if err := echo(conn, longWait); err != nil {
		t.Fatal(err)
	}
	r.Cut()
	if err := echo(conn, longWait); err == nil || os.IsTimeout(err) {
		t.Fatalf("a cut connection must fail at once, got %v", err)
	}
}

func TestDelayAndRefuse(t *testing.T) {
	r := startRelay(t)
	conn := dial(t, r)
	r.SetDelay(time.Hour)
	if err := echo(conn, shortWait); !os.IsTimeout(err) {
		t.Fatalf("got %v, want a timeout on the delayed connection", err)
	}
	r.SetDelay(0)
	r.Refuse(true)
	if err := echo(dial(t, r), longWait); err == nil || os.IsTimeout(err) {
		t.Fatalf("got %v, want an immediate error on the refused connection", err)
	}
}
