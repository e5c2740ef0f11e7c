package edge

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
)

// answeredUntilEnd reads answers until the connection ends and returns how many there were.
func answeredUntilEnd(t *testing.T, br *bufio.Reader) int {
	t.Helper()
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitReceiving waits until the server reads a request of its only connection.
func awaitReceiving(t *testing.T, s *Server) {
	t.Helper()
	receiving := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.receiving
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !receiving(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the server did not read the next request")
		}
	}
}

// awaitEnd waits until all connections of the server have ended.
func awaitEnd(t *testing.T, s *Server) {
	t.Helper()
	connections := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns)
	}
	for end := time.Now().Add(testTimeout); connections() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connections did not end")
		}
	}
}

// TestClosingAnswersTheRequestThatIsArriving answers a request while the head of the next
// one is being read. It guards against a stopping server that ends the connection with the
// first answer and runs the request behind it, whose answer then has no way back.
func TestClosingAnswersTheRequestThatIsArriving(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Closing = func() bool { return true }
	var ran atomic.Int32
	running, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		if ran.Add(1) == 1 {
			close(running)
			<-release
		}
		w.Write([]byte("x"))
	})
	conn, br := dial(t, addr)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-running
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: ")
	awaitReceiving(t, s)
	close(release)
	readAnswer(t, br)
	fmt.Fprint(conn, "a\r\n\r\n")
	answered := 1 + answeredUntilEnd(t, br)
	conn.Close()
	awaitEnd(t, s)
	if n := int(ran.Load()); n != answered {
		t.Fatalf("%d requests ran, %d were answered", n, answered)
	}
}

// TestStopLosesNoPipelinedRequest shuts servers down while clients keep two requests in
// flight on each connection. It guards against every other order of reading and answering
// in which a request runs without an answer.
func TestStopLosesNoPipelinedRequest(t *testing.T) {
	const (
		rounds  = 30
		clients = 8
	)
	for range rounds {
		var ran, answered atomic.Int32
		var closing atomic.Bool
		opts := DefaultServerOptions()
		opts.Closing = closing.Load
		s, addr := startServer(t, opts, func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			time.Sleep(time.Millisecond)
			w.Write([]byte("x"))
		})
		ended := make(chan struct{}, clients)
		for range clients {
			go func() {
				defer func() { ended <- struct{}{} }()
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer conn.Close()
				br := bufio.NewReader(conn)
				fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2))
				for {
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						return
					}
					answered.Add(1)
					if _, err := io.Copy(io.Discard, resp.Body); err != nil {
						return
					}
					if !resp.Close {
						fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
					}
				}
			}()
		}
		time.Sleep(10 * time.Millisecond)
		closing.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		time.AfterFunc(20*time.Millisecond, func() { s.Shutdown(ctx) })
		for range clients {
			<-ended
		}
		cancel()
		if ran.Load() != answered.Load() {
			t.Fatalf("%d requests ran, %d were answered", ran.Load(), answered.Load())
		}
	}
}

// TestRequestThatEndsTheConnectionIsTheLast sends bytes behind a request that ends its
// connection. It guards against an answer of HTTP/1.0, whose body ends with the connection,
// that is not the last one, and against requests that run behind one with "Connection: close".
func TestRequestThatEndsTheConnectionIsTheLast(t *testing.T) {
	for name, first := range map[string]string{
		"http10": "GET /first HTTP/1.0\r\nHost: a\r\n\r\n",
		"close":  "GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			_, addr := startServer(t, DefaultServerOptions(), func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(w, r.URL.Path)
			})
			conn, br := dial(t, addr)
			fmt.Fprint(conn, first+"GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, body := readAnswer(t, br)
			if body != "/first" || !resp.Close {
				t.Fatalf("answer %q, closing %t", body, resp.Close)
			}
			if n := answeredUntilEnd(t, br); n != 0 || ran.Load() != 1 {
				t.Fatalf("%d further answers, %d requests ran", n, ran.Load())
			}
		})
	}
}

// TestLastRequestIsCanceledWhenItsCallerLeaves guards against a request that ends its
// connection and runs on although its caller has closed it, also if the server has read the
// body late.
func TestLastRequestIsCanceledWhenItsCallerLeaves(t *testing.T) {
	for name, request := range map[string]string{
		"get":    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"upload": "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			running, canceled := make(chan struct{}), make(chan struct{})
			_, addr := startServer(t, DefaultServerOptions(), func(_ http.ResponseWriter, r *http.Request) {
				Body(r.Context(), r)
				close(running)
				<-r.Context().Done()
				close(canceled)
			})
			conn, _ := dial(t, addr)
			fmt.Fprint(conn, request)
			<-running
			conn.Close()
			select {
			case <-canceled:
			case <-time.After(testTimeout):
				t.Fatal("the request of a caller that had left was not canceled")
			}
		})
	}
}
