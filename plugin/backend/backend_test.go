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

// listen serves each connection by a function and returns the address.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
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

// serveOnce answers the first request of a connection and, on the second, closes
// the connection after it has read the request, as if it had run it and died.
func serveOnce(conn *net.TCPConn, requests *atomic.Int64) {
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
// net/http sends a request again by itself.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			var requests atomic.Int64
			addr := listen(t, func(conn *net.TCPConn) { serveOnce(conn, &requests) })
			b := newBackend(ownDialect{"X-Shed"}, zap.NewNop())
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

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, sent, err := newBackend(ownDialect{}, zap.NewNop()).Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodPost, Target: "/", Host: "rates", Header: http.Header{}, Body: []byte("x")})
	if err == nil || sent {
		t.Fatalf("sent=%v error=%v", sent, err)
	}
}

// serveForgetful answers requests, and resets the connection on the next request
// after it was idle for the given time.
func serveForgetful(conn *net.TCPConn, idle time.Duration) {
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

func ask(b *backend, addr string, idempotent bool) error {
	resp, _, err := b.Do(context.Background(), addr, &kernel.BackendRequest{Method: http.MethodPost, Target: "/", Host: "rates", Header: http.Header{}, Idempotent: idempotent})
	if err != nil {
		return err
	}
	io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

// TestForgottenConnectionsAreLearned loses one request on a connection that the
// backend server has forgotten, and no other.
func TestForgottenConnectionsAreLearned(t *testing.T) {
	addr := listen(t, func(conn *net.TCPConn) { serveForgetful(conn, 150*time.Millisecond) })
	b := newBackend(ownDialect{}, zap.NewNop())
	defer b.pool.close()
	failed := 0
	for range 4 {
		if ask(b, addr, true) != nil {
			failed++
		}
		time.Sleep(180 * time.Millisecond)
	}
	if failed > 1 {
		t.Fatalf("%d of 4 requests were lost on connections that were forgotten", failed)
	}
}

// TestConnectionsInUseAreKept resets connections that were hardly idle: the bound
// that is learned must not end the use of connections.
func TestConnectionsInUseAreKept(t *testing.T) {
	p := newPool()
	defer p.close()
	p.forgotten(&conn{addr: "a", wasIdle: time.Millisecond})
	if got := p.maxIdleTo("a", true, time.Now()); got < minIdle {
		t.Fatalf("connections are kept %v only", got)
	}
	if got := p.maxIdleTo("a", true, time.Now().Add(idleMemory+time.Second)); got != maxIdle {
		t.Fatalf("kept %v after the bound should have lapsed", got)
	}
}

// TestOnceRequestsAvoidIdleConnections sends requests that must run at most once
// to a backend server that forgets connections soon: none may be lost.
func TestOnceRequestsAvoidIdleConnections(t *testing.T) {
	addr := listen(t, func(conn *net.TCPConn) { serveForgetful(conn, 220*time.Millisecond) })
	b := newBackend(ownDialect{}, zap.NewNop())
	defer b.pool.close()
	for i := range 3 {
		if err := ask(b, addr, false); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// TestOnceRequestsLeaveIdleConnections sends a request that must run at most once
// while several connections have been idle too long for it: others still use them.
func TestOnceRequestsLeaveIdleConnections(t *testing.T) {
	var opened atomic.Int64
	addr := listen(t, func(conn *net.TCPConn) {
		opened.Add(1)
		serveForgetful(conn, time.Minute)
	})
	b := newBackend(ownDialect{}, zap.NewNop())
	defer b.pool.close()
	together := func() {
		var conns []*conn
		for range 3 {
			c, err := b.pool.get(context.Background(), addr, true, false)
			if err != nil {
				t.Fatal(err)
			}
			c.keep = maxIdle
			conns = append(conns, c)
		}
		for _, c := range conns {
			b.pool.put(c)
		}
	}
	together()
	time.Sleep(onceMaxIdle + 50*time.Millisecond)
	if err := ask(b, addr, false); err != nil {
		t.Fatal(err)
	}
	together()
	if n := opened.Load(); n != 4 {
		t.Fatalf("%d connections were opened, want 3 and one for the request that must run once", n)
	}
}
