package backend

import (
	"testing"
	"time"
)

// TestStatusThatIsNone guards against a status below 100 that is taken for an interim answer, so that
// the request waits until its deadline, or for an answer.
func TestStatusThatIsNone(t *testing.T) {
	for status, want := range map[string]int{
		"000": 0, "099": 0, "042": 0, "-20": 0, "+20": 0, "20": 0, "2000": 0, "2x0": 0, "101": 0, "": 0,
		"200": 200, "100 Continue\r\n\r\nHTTP/1.1 204": 204, "599": 599, "600": 600, "999": 999,
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			addr := startServer(t, answerEach(protocol+" "+status+" Text\r\nContent-Length: 0\r\n\r\n", 0))
			start := time.Now()
			got, _, err := receive(t, addr, get())
			if got != want || (err == nil) != (want > 0) || time.Since(start) > 5*time.Second {
				t.Errorf("%s %s: %d, %v after %v", protocol, status, got, err, time.Since(start))
			}
		}
	}
	for _, protocol := range []string{"HTTP/1", "HTTP/1.", "HTTP/1.11", "HTTP/2.0", "http/1.1", "HTTP/1.x"} {
		addr := startServer(t, answerEach(protocol+" 200 OK\r\nContent-Length: 0\r\n\r\n", 0))
		if got, _, err := receive(t, addr, get()); err == nil {
			t.Errorf("%s: %d", protocol, got)
		}
	}
}
