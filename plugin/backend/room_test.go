package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// answerEach returns a server that writes answer after each request, and keeps the connection open
// for a time after the last one.
func answerEach(answer string, open time.Duration) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		defer conn.Close()
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				time.Sleep(open)
				return
			}
			io.WriteString(conn, answer)
		}
	}
}

// TestLargeResponseHeadsTakeRoom answers with heads of many short lines. They must be read whole,
// hold room until the response is closed, and wait for it until the deadline of the request.
func TestLargeResponseHeadsTakeRoom(t *testing.T) {
	const lines = 6000
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + strings.Repeat("a: b\r\n", lines) + "\r\nbody"
	addr := startServer(t, answerEach(answer, 0))
	heads := headbudget.New(1 << 20)
	b := newBackend(builtinDialect{}, zap.NewNop(), heads)
	send := func(timeout time.Duration) (*kernel.BackendResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		t.Cleanup(cancel)
		resp, _, err := b.Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}})
		return resp, err
	}
	first, err := send(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(first.Body)
	if err != nil || string(body) != "body" || len(first.Header["A"]) != lines {
		t.Errorf("%q with %d lines, %v", body, len(first.Header["A"]), err)
	}
	if used := heads.Status().Used; used < lines {
		t.Errorf("the head of an open response holds %d bytes", used)
	}
	if _, err := send(50 * time.Millisecond); err == nil {
		t.Error("a response with a large head was read without room")
	}
	first.Body.Close()
	if second, err := send(time.Minute); err != nil {
		t.Error(err)
	} else {
		second.Body.Close()
	}
	if s := heads.Status(); s.Used != 0 || s.Waiting != 0 {
		t.Errorf("%+v after all responses were closed", s)
	}
}

// TestWhatIsNoResponseEndsTheRequestAtOnce sends bytes that are no response and keeps the connection
// open. The request must not wait for the end of a head.
func TestWhatIsNoResponseEndsTheRequestAtOnce(t *testing.T) {
	for _, answer := range []string{"GARBAGE", "HTTP/1.1 200 OK\r\nno colon\r\n"} {
		addr := startServer(t, answerEach(answer, 5*time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		start := time.Now()
		b := newBackend(builtinDialect{}, zap.NewNop(), nil)
		if _, _, err := b.Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}}); err == nil {
			t.Errorf("%q is a response", answer)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("%q ended the request after %v", answer, took)
		}
	}
}
