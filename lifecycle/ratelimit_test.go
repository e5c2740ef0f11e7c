package lifecycle

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestRateLimitSurvivesEarlierAnswers lets a backend server name, change and withdraw a
// limit while answers to earlier requests without a limit arrive late. The limit in
// force must be the one that the latest change named.
func TestRateLimitSurvivesEarlierAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker RateTracker
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var want call.RateLimit
		lastChange := now
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "answer") {
			case 0:
				want = call.RateLimit{Stated: true, PerSecond: float64(rapid.IntRange(0, 50).Draw(t, "limit"))}
				tracker.Observe(want, now.Add(-time.Second), now)
				lastChange = now
			case 1: // answered before the limit was named, delivered late
				sent := lastChange.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "before")) * time.Millisecond)
				if want.Stated {
					tracker.Observe(call.RateLimit{}, sent, now)
				}
			case 2:
				want = call.RateLimit{}
				tracker.Observe(want, now.Add(-time.Nanosecond), now)
				lastChange = now
			case 3:
				tracker.Observe(call.RateLimit{Malformed: true}, now, now)
			}
			if tracker.Limit() != want {
				t.Fatalf("limit in force is %+v, want %+v", tracker.Limit(), want)
			}
		}
	})
}
