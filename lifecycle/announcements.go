package lifecycle

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	// announcementMaxAge is longer than a node takes to restart beside its backend
	// server.
	announcementMaxAge = time.Minute

	// maxAnnouncements bounds the memory. Notable announcements are rare.
	maxAnnouncements = 4096
)

// Announcements remembers, by the address of the node beside them, what backend servers
// last announced. A node tells it to the target with each call, because a target that
// was restarted has forgotten it. Announcements is not safe for concurrent use.
type Announcements struct {
	byAddr map[string]heardAnnouncement
}

type heardAnnouncement struct {
	call.Announcement
	heardAt time.Time
}

// Record records the announcement in an answer from the node at addr. One that is not
// notable deletes the earlier one, except that a start which is leaving stays so: the
// answer may be older, or come from the next start.
func (l *Announcements) Record(addr string, a call.Announcement, now time.Time) {
	before := l.byAddr[addr]
	if !a.Notable() {
		if !before.Leaving {
			delete(l.byAddr, addr)
		}
		return
	}
	if before.Leaving && before.Instance == a.Instance && before.Born == a.Born {
		a.Leaving = true
	}
	if l.byAddr == nil {
		l.byAddr = map[string]heardAnnouncement{}
	}
	if len(l.byAddr) >= maxAnnouncements {
		l.expire(now)
	}
	l.byAddr[addr] = heardAnnouncement{a, now}
}

// expire deletes outdated announcements, or all of them if none is outdated.
func (l *Announcements) expire(now time.Time) {
	for addr, h := range l.byAddr {
		if now.Sub(h.heardAt) > announcementMaxAge {
			delete(l.byAddr, addr)
		}
	}
	if len(l.byAddr) >= maxAnnouncements {
		clear(l.byAddr)
	}
}

// Latest returns the latest announcement of the backend server beside the node at addr.
func (l *Announcements) Latest(addr string, now time.Time) (call.Announcement, bool) {
	h, ok := l.byAddr[addr]
	if !ok || now.Sub(h.heardAt) > announcementMaxAge {
		return call.Announcement{}, false
	}
	return h.Announcement, true
}
