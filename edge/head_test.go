package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
)

// TestLongHeadsAreFollowedByBodiesAndRequests sends heads that exceed the usual buffer, with a body
// and with further requests behind them, in one write and byte by byte.
func TestLongHeadsAreFollowedByBodiesAndRequests(t *testing.T) {
	opts := DefaultServerOptions()
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %s %v", r.URL.Path, len(r.Header["A"]), body, err)
	})
	var text, want strings.Builder
	for i, size := range []int{0, 2 << 10, 4 << 10, 10 << 10, 50 << 10, 1} {
		lines := size / len("a: b\r\n")
		fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n%s\r\nbody", i, strings.Repeat("a: b\r\n", lines))
		fmt.Fprintf(&want, "/%d %d body <nil>", i, lines)
	}
	for name, src := range map[string]io.Reader{"at once": strings.NewReader(text.String()), "byte by byte": iotest.OneByteReader(strings.NewReader(text.String()))} {
		conn, br := dial(t, addr)
		go io.Copy(conn, src)
		var got strings.Builder
		for range 6 {
			_, body := readAnswer(t, br)
			got.WriteString(body)
		}
		if got.String() != want.String() {
			t.Errorf("%s: %q, want %q", name, got.String(), want.String())
		}
	}
}

// TestHeadWithoutRoomIsRefused fills the memory for heads. A large head must be refused as not run,
// an ordinary one served, and a large one again after room is free.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	opts := DefaultServerOptions()
	opts.Heads = headbudget.NewHeads(1 << 20)
	opts.RoomTimeout = 100 * time.Millisecond
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {})
	send := func(lines int) *http.Response {
		conn, br := dial(t, addr)
		fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", strings.Repeat("a:\r\n", lines))
		resp, _ := readAnswer(t, br)
		return resp
	}
	for name, b := range map[string]*headbudget.Budget{"reading": opts.Heads.Reading, "parsed": opts.Heads.Callers} {
		a := b.Account()
		<-a.Claim(b.Status().Limit).Granted
		if resp := send(4 << 10); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("%s: a large head without room got %d, %v", name, resp.StatusCode, resp.Header)
		}
		if resp := send(4); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: an ordinary head got %d", name, resp.StatusCode)
		}
		a.Release(b.Status().Limit)
		if resp := send(4 << 10); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: a large head got %d although there is room", name, resp.StatusCode)
		}
	}
	for name, b := range map[string]*headbudget.Budget{"reading": opts.Heads.Reading, "parsed": opts.Heads.Callers, "read ahead": opts.Heads.ReadAhead} {
		waitForRoom(t, name, b)
	}
}

// waitForRoom waits until nothing of a budget is used.
func waitForRoom(t *testing.T, name string, b *headbudget.Budget) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.Status().Used != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v after all requests have ended", name, b.Status())
		}
	}
}

// TestRequestsAreNotReadAheadWithoutRoom uses up the requests that may be read ahead. The requests
// of a connection must then be served one after the other.
func TestRequestsAreNotReadAheadWithoutRoom(t *testing.T) {
	opts := DefaultServerOptions()
	running := make(chan struct{}, 1)
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		select {
		case running <- struct{}{}:
		default:
			t.Error("two requests run at a time")
		}
		time.Sleep(10 * time.Millisecond)
		<-running
	})
	for range headbudget.MaxReadAhead {
		<-opts.Heads.ReadAhead.Account().Claim(1).Granted
	}
	conn, br := dial(t, addr)
	io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 4))
	for range 4 {
		if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusOK {
			t.Errorf("a request that was read late got %d", resp.StatusCode)
		}
	}
}

// TestNewConnectionTakesThePlaceOfAWaitingOne opens more connections than a server may have. Those on
// which a head has stalled must give way first, then idle ones, and never those with a request in
// flight.
func TestNewConnectionTakesThePlaceOfAWaitingOne(t *testing.T) {
	opts := DefaultServerOptions()
	opts.MaxConns = 4
	running, release := make(chan struct{}), make(chan struct{})
	s, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			running <- struct{}{}
			<-release
		}
	})
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	isOpen := func(br *bufio.Reader, conn net.Conn) bool {
		conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := br.Peek(1)
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	idle, idleReader := dial(t, addr)
	io.WriteString(idle, get)
	readAnswer(t, idleReader)
	var busy []*bufio.Reader
	for range 2 {
		conn, br := dial(t, addr)
		io.WriteString(conn, strings.Replace(get, "/ ", "/slow ", 1))
		<-running
		busy = append(busy, br)
	}
	stalled, stalledReader := dial(t, addr)
	io.WriteString(stalled, "GET")
	waitForReceiving(t, s)
	time.Sleep(2 * minConnWait) // both may give way by then

	for _, victim := range []struct {
		name string
		conn net.Conn
		br   *bufio.Reader
	}{{"stalled", stalled, stalledReader}, {"idle", idle, idleReader}} {
		if !isOpen(victim.br, victim.conn) {
			t.Fatalf("the %s connection has ended too early", victim.name)
		}
		conn, br := dial(t, addr)
		io.WriteString(conn, strings.Replace(get, "/ ", "/slow ", 1))
		<-running
		busy = append(busy, br)
		if isOpen(victim.br, victim.conn) {
			t.Errorf("the %s connection did not give way", victim.name)
		}
	}
	conn, br := dial(t, addr)
	io.WriteString(conn, get)
	if _, err := http.ReadResponse(br, nil); err == nil {
		t.Error("a connection beyond the limit is served although all others are busy")
	}
	close(release)
	for _, br := range busy {
		if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusOK {
			t.Errorf("a request in flight got %d", resp.StatusCode)
		}
	}
}

// waitForReceiving waits until a head is arriving on a connection.
func waitForReceiving(t *testing.T, s *Server) {
	t.Helper()
	receiving := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if state, _ := c.waitState(); state.receiving {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !receiving(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no head is arriving")
		}
	}
}

// TestTrailersTakeRoom sends a chunked body with trailers behind a large head, in whose buffer they fit. Guards
// against trailers that are parsed without room.
func TestTrailersTakeRoom(t *testing.T) {
	const trailers = 4000
	opts := DefaultServerOptions()
	running, release := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, opts, func(w http.ResponseWriter, r *http.Request) {
		body := r.Body.(*streamedBody)
		io.Copy(io.Discard, body)
		if body.req.Trailer != nil {
			t.Errorf("%d trailers are held", len(body.req.Trailer))
		}
		running <- struct{}{}
		<-release
	})
	conn, br := dial(t, addr)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nLong: %s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("x", 40<<10))
	fmt.Fprintf(conn, "2\r\nab\r\n0\r\n%s\r\n", strings.Repeat("a:\r\n", trailers))
	<-running
	if used := opts.Heads.Callers.Status().Used; used < headbudget.Cost(0, trailers) {
		t.Errorf("a request with %d trailers holds %d bytes of room", trailers, used)
	}
	close(release)
	if resp, _ := readAnswer(t, br); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
