package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// refusalDialect names requests in X-Id, and takes X-Refused for the proof that a request did
// not run.
type refusalDialect struct{ requestIDDialect }

// Decode implements kernel.BackendDialect.
func (d refusalDialect) Decode(status int, h http.Header, req *kernel.BackendRequest) kernel.BackendReport {
	report := d.requestIDDialect.Decode(status, h, req)
	report.NotRun = h.Get("X-Refused") != ""
	report.OtherInstance = status == http.StatusMisdirectedRequest
	return report
}

// repeatRefusal refuses the first request of a connection, runs the later ones, and writes the
// refusal once more ahead of the first answer.
func repeatRefusal(conn *net.TCPConn, refusal func(id string) string, copied string, ran *atomic.Int64) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.URL.Path[1:]
		if i == 0 {
			io.WriteString(conn, refusal(id))
			continue
		}
		ran.Add(1)
		if i == 1 {
			io.WriteString(conn, copied)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// TestRepeatedRefusalProvesNothing guards against a refusal that a server writes once more on a
// kept connection and that counts as the answer to a request which ran: its caller would be
// told to send it again.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	named := func(status string) func(string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		}
	}
	const shed, other = "503 Service Unavailable", "421 Misdirected Request"
	unnamed := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", status)
	}
	for _, tc := range []struct {
		name    string
		refusal func(id string) string
		copied  string
		dialect kernel.BackendDialect
	}{
		{"copy without id", named(shed), unnamed(shed), refusalDialect{}},
		{"copy with the id of the same request", named(shed), named(shed)("same"), refusalDialect{}},
		{"another server's refusal without id", named(other), unnamed(other), refusalDialect{}},
		{"refusals without ids", func(string) string { return unnamed(shed) }, unnamed(shed), refusalDialect{}},
		{"own interface", func(string) string { return unnamed(shed) }, "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n", builtinDialect{"X-Refused"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ran atomic.Int64
			addr := startServer(t, func(conn *net.TCPConn) { repeatRefusal(conn, tc.refusal, tc.copied, &ran) })
			b := newBackend(tc.dialect, zap.NewNop(), nil)
			defer b.pool.close()
			for i := range 6 {
				before := ran.Load()
				resp, _, err := b.Do(context.Background(), addr, &kernel.BackendRequest{Method: http.MethodPost, Target: "/same", Host: "rates", Header: http.Header{}, RequestID: "same"})
				if err != nil {
					continue // proves nothing either
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if ran.Load() > before && (resp.NotRun || resp.OtherInstance) {
					t.Fatalf("request %d ran and counts as not run", i)
				}
			}
		})
	}
}

// TestIdempotentRequestsReuseConnectionsAfterRefusals guards against a new connection for each
// request to a server that refuses many.
func TestIdempotentRequestsReuseConnectionsAfterRefusals(t *testing.T) {
	var opened atomic.Int64
	addr := startServer(t, func(conn *net.TCPConn) {
		opened.Add(1)
		defer conn.Close()
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	b := newBackend(refusalDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	for range 10 {
		if err := sendRequest(b, addr, true); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Fatalf("%d connections for 10 idempotent requests", n)
	}
}

// TestAnswerWithoutIDIsNobodysOnceAnswersHaveIDs guards against a copy of an earlier answer, without
// its id, that passes for the answer to the next request on the connection.
func TestAnswerWithoutIDIsNobodysOnceAnswersHaveIDs(t *testing.T) {
	addr := startServer(t, func(conn *net.TCPConn) {
		defer conn.Close()
		br := bufio.NewReader(conn)
		for i := 0; ; i++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := req.URL.Path[1:]
			if i > 0 {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		}
	})
	b := newBackend(requestIDDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	answered := 0
	for i := range 10 {
		id := fmt.Sprint("request", i)
		resp, _, err := b.Do(context.Background(), addr, &kernel.BackendRequest{Method: http.MethodGet, Target: "/" + id, Host: "rates", Header: http.Header{}, RequestID: id, Idempotent: true})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(body) != id {
			t.Fatalf("request %s got the answer %q, %v", id, body, err)
		}
		answered++
	}
	if answered == 0 {
		t.Fatal("no request was answered")
	}
}
