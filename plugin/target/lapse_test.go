package target

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// silentFleet ignores announcements.
type silentFleet struct{ kernel.Fleet }

// Announce implements kernel.Fleet.
func (silentFleet) Announce(string, int) {}

// TestAnnouncementReadLateKeepsTheServer guards against a node that withdraws its backend server
// although the announcement has arrived, because the node itself was late. Without one the
// server is withdrawn.
func TestAnnouncementReadLateKeepsTheServer(t *testing.T) {
	server := kernel.BackendInfo{Instance: "i", Service: "rates", Address: "127.0.0.1:1", Slots: 4}
	for _, tc := range []struct {
		name     string
		arrived  bool
		withdraw bool
	}{{"unread", true, false}, {"none", false, true}} {
		s := &settings.Settings{}
		s.Backend.AnnounceTTL = time.Second
		k, err := kernel.New(s, "a", zap.NewNop(), metrics.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		k.Fleet = silentFleet{}
		target := newTarget(k)
		turned := make(chan struct{})
		target.awaitTurn = func(time.Duration) {
			if tc.arrived {
				target.AnnounceBackend(server)
			}
			close(turned)
		}
		target.AnnounceBackend(server)
		target.mu.Lock()
		target.renewedAt = time.Now().Add(-2 * time.Second)
		overdue := target.announcementOverdue(time.Now())
		target.mu.Unlock()
		if !overdue {
			t.Fatalf("%s: the announcement is not overdue", tc.name)
		}
		target.lapse()
		<-turned
		if target.serving == tc.withdraw {
			t.Errorf("%s: serving %t after the announcement was overdue", tc.name, target.serving)
		}
	}
}
