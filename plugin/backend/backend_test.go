package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// startServer starts a server that passes each connection to serve, and returns its
// address.
func startServer(t *testing.T, serve func(*net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// answerFirstOnly answers the first request of a connection. It reads the second one
// and closes the connection, like a server that crashes after running the request.
func answerFirstOnly(conn *net.TCPConn, requests *atomic.Int64) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if i == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// TestRequestIsNeverSentTwice covers the methods and the header for which
// http.Transport resends a request automatically.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var requests atomic.Int64
			addr := startServer(t, func(conn *net.TCPConn) { answerFirstOnly(conn, &requests) })
			b := newBackend(builtinDialect{"X-Shed"}, zap.NewNop(), nil)
			defer b.pool.close()
			req := &kernel.BackendRequest{Method: method, Target: "/", Host: "rates", Header: http.Header{"Idempotency-Key": {"k"}}}
			resp, _, err := b.Do(context.Background(), addr, req)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			_, sent, err := b.Do(context.Background(), addr, req)
			if err == nil || !sent {
				t.Fatalf("lost request: sent=%v error=%v", sent, err)
			}
			if n := requests.Load(); n != 2 {
				t.Fatalf("the backend server got %d requests for 2 calls", n)
			}
		})
	}
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, sent, err := newBackend(builtinDialect{}, zap.NewNop(), nil).Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodPost, Target: "/", Host: "rates", Header: http.Header{}, Body: []byte("x")})
	if err == nil || sent {
		t.Fatalf("sent=%v error=%v", sent, err)
	}
}

// resetWhenIdle answers requests, and resets the connection when a request arrives
// after it was idle for longer than the given time.
func resetWhenIdle(conn *net.TCPConn, idle time.Duration) {
	defer conn.Close()
	conn.SetLinger(0)
	br := bufio.NewReader(conn)
	for used := time.Now(); ; used = time.Now() {
		req, err := http.ReadRequest(br)
		if err != nil || time.Since(used) > idle {
			return
		}
		io.Copy(io.Discard, req.Body)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func sendRequest(b *backend, addr string, idempotent bool) error {
	resp, _, err := b.Do(context.Background(), addr, &kernel.BackendRequest{Method: http.MethodPost, Target: "/", Host: "rates", Header: http.Header{}, Idempotent: idempotent})
	if err != nil {
		return err
	}
	io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

// TestIdleLimitIsLearnedFromResets sends requests to a backend server that resets idle
// connections. Only the first reset may lose a request; the pool then learns the idle
// limit.
func TestIdleLimitIsLearnedFromResets(t *testing.T) {
	addr := startServer(t, func(conn *net.TCPConn) { resetWhenIdle(conn, 150*time.Millisecond) })
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	failed := 0
	for range 4 {
		if sendRequest(b, addr, true) != nil {
			failed++
		}
		time.Sleep(180 * time.Millisecond)
	}
	if failed > 1 {
		t.Fatalf("%d of 4 requests were lost on connections that the server had reset", failed)
	}
}

// TestLearnedIdleLimitHasMinimumAndExpires learns from a connection that was hardly
// idle. The limit must not become so low that connections are no longer reused.
func TestLearnedIdleLimitHasMinimumAndExpires(t *testing.T) {
	p := newPool()
	defer p.close()
	p.learnIdle(&conn{addr: "a", idleTime: time.Millisecond})
	if got := p.maxIdleFor("a", true, time.Now()); got < minLearnedIdle {
		t.Fatalf("connections are kept for only %v", got)
	}
	if got := p.maxIdleFor("a", true, time.Now().Add(learnedIdleTTL+time.Second)); got != defaultMaxIdle {
		t.Fatalf("kept for %v after the learned limit should have lapsed", got)
	}
}

// TestAtMostOnceRequestsAvoidIdleConnections sends requests that must run at most once
// to a backend server that resets connections after a short idle time. None may be
// lost.
func TestAtMostOnceRequestsAvoidIdleConnections(t *testing.T) {
	addr := startServer(t, func(conn *net.TCPConn) { resetWhenIdle(conn, 220*time.Millisecond) })
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	for i := range 3 {
		if err := sendRequest(b, addr, false); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// TestAtMostOnceRequestsKeepIdleConnections sends a request that must run at most once
// while several connections have been idle too long for it. The pool must keep these
// connections for other requests.
func TestAtMostOnceRequestsKeepIdleConnections(t *testing.T) {
	var opened atomic.Int64
	addr := startServer(t, func(conn *net.TCPConn) {
		opened.Add(1)
		resetWhenIdle(conn, time.Minute)
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	useThreeConnections := func() {
		var conns []*conn
		for range 3 {
			c, err := b.pool.get(context.Background(), addr, true, false)
			if err != nil {
				t.Fatal(err)
			}
			c.maxIdle = defaultMaxIdle
			conns = append(conns, c)
		}
		for _, c := range conns {
			b.pool.put(c)
		}
	}
	useThreeConnections()
	time.Sleep(maxIdleAtMostOnce + 50*time.Millisecond)
	if err := sendRequest(b, addr, false); err != nil {
		t.Fatal(err)
	}
	useThreeConnections()
	if n := opened.Load(); n != 4 {
		t.Fatalf("%d connections were opened, want 3 and another one for the request that must run at most once", n)
	}
}
