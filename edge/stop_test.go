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
