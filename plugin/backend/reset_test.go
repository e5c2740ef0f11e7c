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

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// receive sends a request to a server and returns its answer. The error is that of the head or of the
// body.
func receive(t *testing.T, addr string, req *kernel.BackendRequest) (status int, body string, err error) {
	t.Helper()
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, _, err := b.Do(ctx, addr, req)
	if err != nil {
		if ctx.Err() != nil {
			t.Errorf("the request ended with its deadline: %v", err)
		}
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.Status, string(text), err
}

func get() *kernel.BackendRequest {
	return &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}}
}

// TestUploadThatIsResetGetsNoCompleteAnswer answers a long upload at once, without a length, and resets
// the connection after a part of the body. It guards against that part being taken for the whole
// answer: the write of the upload receives the error of the socket, so that the read sees an ordinary
// end.
func TestUploadThatIsResetGetsNoCompleteAnswer(t *testing.T) {
	const uploads = 40
	addr := startServer(t, func(conn *net.TCPConn) {
		conn.SetReadBuffer(4 << 10)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2000))
		}
		conn.SetLinger(0)
		conn.Close()
	})
	whole := 0
	for range uploads {
		if _, _, err := receive(t, addr, upload()); err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("%d of %d answers that were reset are complete", whole, uploads)
	}
}

// TestAnswerWithoutLengthBeforeTheEndOfAnUpload answers a long upload at once, without a length, and ends
// its side of the connection in order. The answer is complete, whether or not the server reads on.
func TestAnswerWithoutLengthBeforeTheEndOfAnUpload(t *testing.T) {
	for _, readOn := range []bool{true, false} {
		addr := startServer(t, func(conn *net.TCPConn) {
			defer conn.Close()
			conn.SetReadBuffer(4 << 10)
			br := bufio.NewReader(conn)
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			conn.CloseWrite()
			if readOn {
				io.Copy(io.Discard, br)
			} else {
				time.Sleep(time.Second)
			}
		})
		start := time.Now()
		if status, body, err := receive(t, addr, upload()); status != http.StatusOK || body != "whole" || err != nil {
			t.Errorf("read on %t: %d, %q, %v", readOn, status, body, err)
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("read on %t: the answer took %v", readOn, took)
		}
	}
}
