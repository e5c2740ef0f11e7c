package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestLeavingCallerIsNoticedBehindUnreadBytes closes connections on which a request runs and
// further bytes have not been read. It guards against running requests that go on, and waiting
// ones that start, because those bytes hide the end of the connection.
func TestLeavingCallerIsNoticedBehindUnreadBytes(t *testing.T) {
	chunked := "PUT /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	long := "PUT /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 8192\r\n\r\n" + strings.Repeat("x", 8<<10)
	get := "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
	last := "GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		requests []string
		running  int // requests that begin to run
	}{
		"bodies in chunks":                {[]string{chunked, chunked}, 1},
		"long bodies":                     {[]string{long, long}, 1},
		"more requests than may run":      {[]string{get, get, get, get}, 2},
		"bytes behind the last request":   {[]string{last, get}, 1},
		"an unreadable request behind it": {[]string{get, "nonsense %d\r\n\r\n"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			opts := DefaultServerOptions()
			opts.MaxPipelined = 2
			var started atomic.Int32
			running, canceled := make(chan struct{}, 9), make(chan struct{}, 9)
			s, addr := startServer(t, opts, func(_ http.ResponseWriter, r *http.Request) {
				started.Add(1)
				if _, err := Body(r.Context(), r); err != nil {
					return
				}
				running <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
			})
			conn, _ := dial(t, addr)
			for i, request := range c.requests {
				fmt.Fprintf(conn, request, i)
			}
			for range c.running {
				<-running
			}
			time.Sleep(50 * time.Millisecond) // the server waits with the rest unread
			conn.Close()
			for range c.running {
				select {
				case <-canceled:
				case <-time.After(testTimeout):
					t.Fatal("the request of a caller that had left was not canceled")
				}
			}
			awaitEnd(t, s)
			if n := int(started.Load()); n != c.running {
				t.Errorf("%d requests were started, %d before the caller left", n, c.running)
			}
		})
	}
}
