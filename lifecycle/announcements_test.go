package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestLeavingStartStaysLeaving records answers that arrive after the one that announced
// the end of a start: older ones of the same start, and those of the next one.
func TestLeavingStartStaysLeaving(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit := call.RateLimit{Stated: true, PerSecond: 3}
	var l Announcements
	check := func(what, instance string, leaving bool) {
		t.Helper()
		if a, ok := l.Latest("a", now); !ok || a.Instance != instance || a.Leaving != leaving {
			t.Errorf("%s: %+v", what, a)
		}
	}
	l.Record("a", call.Announcement{Instance: "i-1", Born: 1, Leaving: true}, now)
	l.Record("a", call.Announcement{}, now)
	check("answer without an announcement", "i-1", true)
	l.Record("a", call.Announcement{Instance: "i-1", Born: 1, RateLimit: limit}, now)
	check("earlier answer with a limit", "i-1", true)
	l.Record("a", call.Announcement{Instance: "i-1", Born: 2, RateLimit: limit}, now)
	check("next start", "i-1", false)
	l.Record("a", call.Announcement{}, now)
	if a, ok := l.Latest("a", now); ok {
		t.Errorf("after the end of the limit: %+v", a)
	}
}

func TestAnnouncementsAreBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l Announcements
	for i := range 3 * maxAnnouncements {
		l.Record(fmt.Sprint(i), call.Announcement{Leaving: true}, now)
	}
	if len(l.byAddr) > maxAnnouncements {
		t.Errorf("%d entries", len(l.byAddr))
	}
	if _, ok := l.Latest(fmt.Sprint(3*maxAnnouncements-1), now.Add(2*announcementMaxAge)); ok {
		t.Error("an outdated announcement counts")
	}
}
