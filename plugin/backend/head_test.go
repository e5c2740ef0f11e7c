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

// TestHeadThatIsCutShortIsNoAnswer ends a connection after each prefix of the head of several
// answers, also without a length and after an interim answer. None may pass for an answer, whole
// or empty.
func TestHeadThatIsCutShortIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n",
		"no length":      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n",
		"interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"bare lines":     "HTTP/1.1 200 OK\nX-Id: a\n\n",
		"no content":     "HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n",
		"length and end": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Id: a\r\nConnection: close\r\n\r\n",
	} {
		for cut := range len(head) {
			addr := startServer(t, func(conn *net.TCPConn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, head[:cut])
				}
			})
			b := newBackend(requestIDDialect{}, zap.NewNop(), nil)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			resp, sent, err := b.Do(ctx, addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/", Host: "rates", Header: http.Header{}, RequestID: "a", Idempotent: true})
			if err == nil {
				body, bodyErr := io.ReadAll(resp.Body)
				t.Errorf("%s, %d bytes (%q): status %d, body %q, %v", name, cut, head[max(0, cut-12):cut], resp.Status, body, bodyErr)
			} else if !sent || ctx.Err() != nil {
				t.Errorf("%s, %d bytes: sent %t, %v", name, cut, sent, err)
			}
			cancel()
			b.pool.close()
		}
		if !strings.HasSuffix(head, "\n") {
			t.Errorf("%s is not a whole head", name)
		}
	}
}
