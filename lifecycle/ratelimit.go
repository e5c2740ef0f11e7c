package lifecycle

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// RateTracker follows the rate limit that one start of a backend server announces in
// its answers. It is not safe for concurrent use.
type RateTracker struct {
	limit    call.RateLimit
	statedAt time.Time // when an answer last named a limit
	answered bool      // an answer of this start has arrived
}

// Observe processes the limit named in the answer to a request that was sent at sentAt,
// and reports whether the limit in force has changed. An answer without a limit ends the
// limit only if its request was sent after the limit was last named: an earlier one may
// have been answered before the backend server named it. A malformed limit changes
// nothing.
func (t *RateTracker) Observe(l call.RateLimit, sentAt, now time.Time) bool {
	t.answered = true
	switch {
	case l.Malformed:
		return false
	case l.Stated:
		t.statedAt = now
	case !sentAt.After(t.statedAt):
		return false
	}
	changed := t.limit != l
	t.limit = l
	return changed
}

// Adopt takes over the limit that another node heard from the same start, as long as no
// answer has said what holds, and reports whether the limit in force has changed.
func (t *RateTracker) Adopt(l call.RateLimit) bool {
	if t.answered || !l.Stated || t.limit == l {
		return false
	}
	t.limit = l
	return true
}

// Limit returns the limit in force.
func (t *RateTracker) Limit() call.RateLimit { return t.limit }
