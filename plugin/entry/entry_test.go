package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// announcedTarget records announcements.
type announcedTarget struct {
	kernel.Target
	announced []kernel.BackendInfo
}

// AnnounceBackend implements kernel.Target.
func (a *announcedTarget) AnnounceBackend(b kernel.BackendInfo) { a.announced = append(a.announced, b) }

// TestAnnouncementsWithFiguresOutOfRangeAreRejected guards against a node that serves an address which
// cannot be called.
func TestAnnouncementsWithFiguresOutOfRangeAreRejected(t *testing.T) {
	k, err := kernel.New(&settings.Settings{}, "a", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	target := &announcedTarget{}
	k.Target = target
	e := &entry{k: k, log: zap.NewNop()}
	for body, want := range map[string]int{
		`{"service":"rates","address":"10.0.0.1:8080","slots":4}`:          http.StatusOK,
		`{"service":"rates","address":"10.0.0.1:0","slots":4}`:             http.StatusBadRequest,
		`{"service":"rates","address":"10.0.0.1:99999","slots":4}`:         http.StatusBadRequest,
		`{"service":"rates","address":":8080","slots":4}`:                  http.StatusBadRequest,
		`{"service":"rates","address":"10.0.0.1:8080","slots":-4}`:         http.StatusBadRequest,
		`{"service":"rates","address":"10.0.0.1:8080","slots":4294967295}`: http.StatusBadRequest,
		`{"service":"rates","address":"10.0.0.1:8080","slots":1e300}`:      http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		e.serveAnnounce(w, httptest.NewRequest(http.MethodPut, BackendPath, strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", body, w.Code, want)
		}
	}
	if len(target.announced) != 1 {
		t.Errorf("announced %+v", target.announced)
	}
}

// TestAnnouncementOfAnotherServiceIsRejected guards against a live backend server that is no
// longer used because of the announcement of one for another VM.
func TestAnnouncementOfAnotherServiceIsRejected(t *testing.T) {
	s := &settings.Settings{}
	s.Node.Service = "rates"
	k, err := kernel.New(s, "a", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	target := &announcedTarget{}
	k.Target = target
	e := &entry{k: k, log: zap.NewNop()}
	for service, want := range map[string]int{"rates": http.StatusOK, "stock": http.StatusBadRequest} {
		w := httptest.NewRecorder()
		body := `{"service":"` + service + `","address":"10.0.0.1:8080","slots":4}`
		e.serveAnnounce(w, httptest.NewRequest(http.MethodPut, BackendPath, strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", service, w.Code, want)
		}
	}
	if len(target.announced) != 1 || target.announced[0].Service != "rates" {
		t.Errorf("announced %+v", target.announced)
	}
}
