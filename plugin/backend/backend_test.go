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

// closingServer answers the first request of each connection and, on the
// second, closes the connection after it has read the request, as if it had
// run it and died.
func closingServer(t *testing.T, requests *atomic.Int64) string {
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
			go serveOnce(conn, requests)
		}
	}()
	return ln.Addr().String()
}

func serveOnce(conn net.Conn, requests *atomic.Int64) {
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
			addr := closingServer(t, &requests)
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
