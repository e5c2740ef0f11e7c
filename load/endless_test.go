package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestAnswerWithoutEndIsCutOff guards against a load tool that keeps an answer without end until
// its memory is used up.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat("x", 1<<20)
		for sent := 0; sent < 4*maxBodyBytes; {
			n, err := io.WriteString(w, part)
			sent += n
			if err != nil {
				return
			}
		}
	}))
	defer s.Close()
	c := newClient(&Options{}, []string{s.URL})
	class := &Class{Name: "read", Method: http.MethodGet, Path: "/", Timeout: 20 * time.Second}
	r := c.roundTrip(context.Background(), &submission{class: class, id: "a"}, "a-0", 0)
	if !errors.Is(r.err, errBodyTooLarge) {
		t.Errorf("%d bytes, error %v", len(r.body), r.err)
	}
	if v, _ := classify("a-0", false, r); v != Unknown {
		t.Errorf("verdict %v", v)
	}
}
