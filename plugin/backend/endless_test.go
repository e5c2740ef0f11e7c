package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// requestIDDialect takes a response for that of another request if it echoes another
// id.
type requestIDDialect struct{ builtinDialect }

func (d requestIDDialect) Decode(_ int, h http.Header, req *kernel.BackendRequest) kernel.BackendReport {
	id := h.Get("X-Id")
	return kernel.BackendReport{NamesRequest: id != "", OtherRequest: id != "" && id != req.RequestID}
}

// endlessResponse reads one request, sends first, and then repeats a piece until the
// caller closes the connection or until limit bytes are sent. It adds to sent and
// counts the connection as closed in the end.
func endlessResponse(conn *net.TCPConn, first, piece string, sent, closed *atomic.Int64) {
	defer conn.Close()
	defer closed.Add(1)
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	chunk := strings.Repeat(piece, 1+4096/len(piece))
	for _, err := io.WriteString(conn, first); err == nil; {
		var n int
		n, err = io.WriteString(conn, chunk)
		sent.Add(int64(n))
	}
}

// TestResponsesWithoutEnd calls servers whose bytes before the end of a head never
// stop. The call must fail long before its deadline, after a bounded number of bytes,
// and the connection must be closed. Without the bound each call read until its
// deadline and held all that it had read.
func TestResponsesWithoutEnd(t *testing.T) {
	const readBound = 8 << 20 // what the kernel buffers on loopback, beside the bounds of the reader
	for name, c := range map[string]struct{ first, piece string }{
		"no line end":           {"", "x"},
		"header line":           {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body of another":       {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"responses to others":   {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		"extension of another":  {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers of another":   {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"one trailer of others": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, closed atomic.Int64
			addr := startServer(t, func(conn *net.TCPConn) { endlessResponse(conn, c.first, c.piece, &sent, &closed) })
			b := newBackend(requestIDDialect{}, zap.NewNop(), nil)
			defer b.pool.close()
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			_, wasSent, err := b.Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}, RequestID: "mine"})
			if err == nil || !wasSent || ctx.Err() != nil {
				t.Fatalf("sent %t, error %v, deadline passed %t", wasSent, err, ctx.Err() != nil)
			}
			waitUntil(t, "the connection is closed", func() bool { return closed.Load() == 1 })
			if n := sent.Load(); n > readBound {
				t.Fatalf("%d bytes were read", n)
			}
		})
	}
}

// TestBodyWithoutEnd reads a body that never ends. Its pieces must be passed on, and
// closing the body must close the connection.
func TestBodyWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, piece string }{
		"until close": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunked":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, closed atomic.Int64
			addr := startServer(t, func(conn *net.TCPConn) { endlessResponse(conn, c.first, c.piece, &sent, &closed) })
			b := newBackend(builtinDialect{}, zap.NewNop(), nil)
			defer b.pool.close()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, _, err := b.Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil || n == 0 {
				t.Fatalf("%d bytes, error %v: a body without end looks complete", n, err)
			}
			resp.Body.Close()
			waitUntil(t, "the connection is closed", func() bool { return closed.Load() == 1 })
		})
	}
}

// TestSecondAnswerOnReusedConnection sends a late copy of an answer, first before and
// then after the next request is on its way. The next caller must get its own answer.
func TestSecondAnswerOnReusedConnection(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%t", late), func(t *testing.T) {
			addr := startServer(t, func(conn *net.TCPConn) {
				defer conn.Close()
				br := bufio.NewReader(conn)
				copyOfLast := ""
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					id := req.URL.Path[1:]
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
					if late {
						io.WriteString(conn, copyOfLast+answer)
					} else {
						io.WriteString(conn, answer+answer)
					}
					copyOfLast = answer
				}
			})
			b := newBackend(requestIDDialect{}, zap.NewNop(), nil)
			defer b.pool.close()
			for i := range 20 {
				id := fmt.Sprint("request-", i)
				resp, _, err := b.Do(context.Background(), addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/" + id, Host: "rates", Header: http.Header{}, RequestID: id, Idempotent: true})
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || string(body) != id {
					t.Fatalf("request %s got the answer %q, %v", id, body, err)
				}
			}
		})
	}
}

func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after 5 s", condition)
		}
	}
}
