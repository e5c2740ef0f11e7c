package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

const testTimeout = 5 * time.Second

func startServer(t *testing.T, opts ServerOptions, h http.HandlerFunc) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h, opts, zap.NewNop())
	go s.Serve(ln)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		s.Shutdown(ctx)
	})
	return s, ln.Addr().String()
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

func readAnswer(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// TestPipelinedRequestsRunConcurrently delays the first of three pipelined requests.
// All must run concurrently, and their answers must arrive in the order of the
// requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	var barrier sync.WaitGroup
	barrier.Add(3)
	_, addr := startServer(t, DefaultServerOptions(), func(w http.ResponseWriter, r *http.Request) {
		barrier.Done()
		barrier.Wait()
		if r.URL.Path == "/0" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	conn, br := dial(t, addr)
	for i := range 3 {
		fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
	}
	for i := range 3 {
		if _, body := readAnswer(t, br); body != fmt.Sprintf("/%d", i) {
			t.Fatalf("answer %d is %q", i, body)
		}
	}
}

// TestUnsafeRequestsWaitForPrecedingAnswers checks that a request with side effects
// does not run concurrently with a preceding one, whose answer may end the
// connection.
func TestUnsafeRequestsWaitForPrecedingAnswers(t *testing.T) {
	var running atomic.Int32
	_, addr := startServer(t, DefaultServerOptions(), func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > 1 {
			t.Errorf("%s %s ran concurrently with another request", r.Method, r.URL.Path)
		}
		time.Sleep(30 * time.Millisecond)
		running.Add(-1)
		fmt.Fprint(w, r.URL.Path)
	})
	conn, br := dial(t, addr)
	for i := range 3 {
		fmt.Fprintf(conn, "POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", i)
	}
	for i := range 3 {
		if _, body := readAnswer(t, br); body != fmt.Sprintf("/%d", i) {
			t.Fatalf("answer %d is %q", i, body)
		}
	}
}

// TestDisconnectCancelsPipelinedRequests closes a connection on which another request
// is waiting. The running request must be canceled, and the waiting one must not
// start.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	opts := DefaultServerOptions()
	opts.MaxPipelined = 2
	var started atomic.Int32
	running := make(chan struct{}, 9)
	canceled := make(chan struct{}, 9)
	_, addr := startServer(t, opts, func(_ http.ResponseWriter, r *http.Request) {
		started.Add(1)
		running <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	conn, _ := dial(t, addr)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	<-running
	conn.Close()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("the request of a caller that had left was not canceled")
	}
	time.Sleep(50 * time.Millisecond)
	if n := started.Load(); n != 1 {
		t.Fatalf("%d requests were started, want 1: the caller had left", n)
	}
}

// TestClosingEndsConnectionAfterLastPipelinedRequest serves pipelined requests while
// callers should use another node. Only the last answer may end the connection.
func TestClosingEndsConnectionAfterLastPipelinedRequest(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Closing = func() bool { return true }
	var barrier sync.WaitGroup
	barrier.Add(3)
	_, addr := startServer(t, opts, func(w http.ResponseWriter, _ *http.Request) {
		barrier.Done()
		barrier.Wait()
		w.Write([]byte("x"))
	})
	conn, br := dial(t, addr)
	for range 3 {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	for i := range 3 {
		if resp, _ := readAnswer(t, br); resp.Close != (i == 2) {
			t.Fatalf("answer %d ends the connection: %t", i, resp.Close)
		}
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("after the last answer: %v", err)
	}
}

func TestShutdownFinishesReceivedRequests(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	s, addr := startServer(t, DefaultServerOptions(), func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		w.Write([]byte("whole"))
	})
	idle, idleReader := dial(t, addr)
	defer idle.Close()
	conn, br := dial(t, addr)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Fatalf("idle connection: %v", err)
	}
	close(release)
	if resp, body := readAnswer(t, br); body != "whole" || !resp.Close {
		t.Fatalf("answer %q, closing %t", body, resp.Close)
	}
	conn.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestIncompleteAnswersAreDetectable(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"declared": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("short"))
		},
		"chunked": func(w http.ResponseWriter, _ *http.Request) {
			w.Write([]byte("short"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, DefaultServerOptions(), h)
			conn, br := dial(t, addr)
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return // nothing was sent
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Fatal("an incomplete answer was read as whole, without an error")
			}
		})
	}
}

func TestBadRequests(t *testing.T) {
	opts := DefaultServerOptions()
	opts.MaxHeaderBytes = func() int64 { return 1 << 10 }
	opts.MaxBodyBytes = func() int64 { return 10 }
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		if _, err := Body(r.Context(), r); err == nil || !WriteBodyError(w, err) {
			w.Write([]byte("x"))
		}
	})
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2<<10) + "\r\n\r\n":                    http.StatusRequestHeaderFieldsTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nxxxxxxxxxxx":                           http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nxxxxxxxxxxx\r\n0\r\n\r\n": http.StatusRequestEntityTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\nxxxxxxxxxx":    http.StatusContinue,
		"HEAD / HTTP/1.0\r\nHost: a\r\n\r\n":                                                            http.StatusOK,
	} {
		conn, br := dial(t, addr)
		fmt.Fprint(conn, text)
		resp, err := http.ReadResponse(br, &http.Request{Method: "HEAD"})
		if err != nil || resp.StatusCode != want {
			t.Errorf("%.40q: %v, %v; want %d", text, resp, err, want)
		}
		conn.Close()
	}
}

// FuzzServer sends arbitrary bytes to a connection. The server must neither panic nor
// hang.
func FuzzServer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := net.Pipe()
		s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }), DefaultServerOptions(), zap.NewNop())
		c := newServerConn(s, a)
		ended := make(chan struct{})
		go func() { c.serve(); close(ended) }()
		go io.Copy(io.Discard, b)
		b.SetWriteDeadline(time.Now().Add(time.Second))
		b.Write(data)
		b.Close()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the connection did not end")
		}
	})
}

// TestUnreadableRequestLeavesThoseAheadAnswered sends requests behind each other, the last of which
// cannot be read. Those ahead of it must be answered, and it must get 400 in its turn.
func TestUnreadableRequestLeavesThoseAheadAnswered(t *testing.T) {
	for _, unreadable := range []string{
		"GET /items/50%-off HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
		"GET\r\n\r\n",
		"\r\n",
		"GET /\r\n", // and no end of the head
		"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n: empty\r\n",
		"GET / HTTP/2.0\r\n",
	} {
		_, addr := startServer(t, DefaultServerOptions(), func(w http.ResponseWriter, r *http.Request) { time.Sleep(20 * time.Millisecond) })
		conn, br := dial(t, addr)
		io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3)+unreadable)
		for i, want := range []int{200, 200, 200, 400} {
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != want {
				t.Errorf("%q: answer %d: %+v, %v; want %d", unreadable, i, resp, err, want)
				break
			}
			io.Copy(io.Discard, resp.Body)
		}
	}
}
