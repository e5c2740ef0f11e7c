package target

import (
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

// currentStart returns the start of the backend server that the latest report came
// from. The caller must hold mu.
func (t *target) currentStart() membership.BackendStart {
	r := t.tracker.Current()
	return membership.BackendStart{Instance: r.Instance, Born: r.Born}
}

// resetAnnouncements forgets what an earlier start of the backend server announced. The
// caller must hold mu.
func (t *target) resetAnnouncements() {
	t.rateTracker = lifecycle.RateTracker{}
}

// observe processes what the backend server said about itself in the head of the
// answer to this attempt. Announcements of an earlier start are ignored.
func (a *attempt) observe(report *kernel.BackendReport) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentStart() != a.start {
		return
	}
	if report.RateLimit.Malformed {
		t.log.Warn("backend_rate_limit_malformed", zap.String("instance", a.start.Instance))
	}
	now := time.Now()
	before := t.rateTracker.Limit()
	if !t.rateTracker.Observe(report.RateLimit, a.startedAt, now) {
		return
	}
	limit := t.rateTracker.Limit()
	t.log.Info("backend_rate_limit", zap.String("instance", a.start.Instance), zap.Bool("limited", limit.Stated), zap.Float64("per_second", limit.PerSecond),
		zap.Bool("limited_before", before.Stated), zap.Float64("per_second_before", before.PerSecond), zap.Float64("started_per_second", a.controller.StartsPerSecond(now)),
		zap.Int("running", len(t.executions)), zap.Int("slots", t.backend.Slots))
}
