package backend

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
)

// TestHeadersThatAreNone guards against an answer whose head has a line that is no header line: it
// would be passed on, or the body would be framed otherwise than the server meant.
func TestHeadersThatAreNone(t *testing.T) {
	for line, valid := range map[string]bool{
		"X Odd: 1":                      false,
		"X-Odd : 1":                     false,
		"X-Odd\t: 1":                    false,
		"X\x01Odd: 1":                   false,
		"X\x7fOdd: 1":                   false,
		"X\x00: 1":                      false,
		"X(Odd): 1":                     false,
		"X\xe9: 1":                      false,
		": 1":                           false,
		"X-Odd":                         false,
		" X-Odd: 1":                     false,
		"Transfer Encoding: chunked":    false,
		"Transfer-Encoding : chunked":   false,
		"Content-Length : 2":            false,
		"Content-Length: 2":             false, // beside another one
		"X-Odd: a\x00b":                 false,
		"X-Odd: a\x01b":                 false,
		"X-Odd: a\x7fb":                 false,
		"X-Odd: a\rb":                   false,
		"X-Odd: a\r\n folded":           true,
		"X-Odd: caf\xe9":                true,
		"X-Odd: a\tb":                   true,
		"x!#$%&'*+.^_`|~-Odd: 1":        true,
		"X-Odd:":                        true,
		"Connection: close\r\nX-Odd: 1": true,
	} {
		addr := startServer(t, answerEach("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+line+"\r\n\r\n4\r\nab", 0))
		status, body, err := receive(t, addr, get())
		if valid != (err == nil) || valid && body != "4\r\nab" {
			t.Errorf("%q: %d, %q, %v", line, status, body, err)
		}
	}
	// HTTP/1.0 has no transfer codings, so the end of the body is not known.
	addr := startServer(t, answerEach("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0))
	if status, body, err := receive(t, addr, get()); err == nil {
		t.Errorf("a transfer coding in HTTP/1.0: %d, %q", status, body)
	}
}

// TestConnectionWithTwoFramingsIsNotUsedAgain answers with a length and a transfer coding. The length is
// ignored (RFC 9112, section 6.3), but the server may have meant it.
func TestConnectionWithTwoFramingsIsNotUsedAgain(t *testing.T) {
	var conns atomic.Int64
	addr := startServer(t, func(conn *net.TCPConn) {
		conns.Add(1)
		answerEach("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 0)(conn)
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	for i := range 3 {
		resp, _, err := b.Do(context.Background(), addr, get())
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "ab" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
		resp.Body.Close()
		if n := conns.Load(); n != int64(i+1) {
			t.Errorf("%d connections for %d requests", n, i+1)
		}
	}
}
