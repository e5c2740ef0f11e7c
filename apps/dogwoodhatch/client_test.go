package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestResponseWithoutEndIsRejected guards against a command that keeps an answer without end
// until its memory is used up.
func TestResponseWithoutEndIsRejected(t *testing.T) {
	sent := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat("x", 1<<20)
		for sent < 4*maxResponseBytes {
			n, err := io.WriteString(w, part)
			sent += n
			if err != nil {
				return
			}
		}
	}))
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t"), 0o600); err != nil {
		t.Fatal(err)
	}
	env := &environment{Node: s.URL, TokenFile: token, out: io.Discard}
	if _, err := env.call(http.MethodGet, "/", nil, nil); err == nil || !strings.Contains(err.Error(), "exceeds") {
		t.Errorf("error %v", err)
	}
	s.Close() // waits for the handler
	if sent >= 4*maxResponseBytes {
		t.Errorf("the whole answer of %d bytes was read", sent)
	}
}
