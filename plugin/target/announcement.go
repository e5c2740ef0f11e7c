package target

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
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
func (t *target) resetAnnouncements(now time.Time) {
	t.rateTracker = lifecycle.RateTracker{}
	t.applyRateLimit(now)
}

// applyRateLimit passes the rate limit in force to the admission controller. The caller
// must hold mu.
func (t *target) applyRateLimit(now time.Time) {
	if t.controller != nil {
		t.deliver(t.controller.SetRateLimit(t.rateTracker.Limit(), now))
	}
}

// announcement returns what the current start of the backend server announces. The
// caller must hold mu.
func (t *target) announcement() call.Announcement {
	start := t.currentStart()
	a := call.Announcement{Instance: start.Instance, Born: start.Born, RateLimit: t.rateTracker.Limit(), Leaving: t.tracker.Ended()}
	if !a.Notable() {
		return call.Announcement{}
	}
	return a
}

// adopt takes over what the source node of a call has heard from the backend server. The
// caller must hold mu.
func (t *target) adopt(a call.Announcement, now time.Time) {
	if !a.Notable() {
		return
	}
	start := membership.BackendStart{Instance: a.Instance, Born: a.Born}
	if a.Leaving {
		t.endStart(start, "source_node", now)
	}
	if t.controller == nil || t.currentStart() != start {
		return
	}
	before := t.rateTracker.Limit()
	if t.rateTracker.Adopt(a.RateLimit) {
		t.applyRateLimit(now)
		t.logRateLimit(before, "source_node", now)
	}
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
	now := time.Now()
	if t.k.Settings.Backend.TrustPace {
		a.controller.ObservePace(report.Load.Pace, now)
	}
	if report.Leaving {
		t.endStart(a.start, "answer", now)
	}
	if report.RateLimit.Malformed {
		t.log.Warn("backend_rate_limit_malformed", zap.String("instance", a.start.Instance))
	}
	before := t.rateTracker.Limit()
	if !t.rateTracker.Observe(report.RateLimit, a.startedAt, now) {
		return
	}
	t.applyRateLimit(now)
	t.logRateLimit(before, "answer", now)
}

// endStart records that a start of the backend server accepts no more calls because it
// said so in an answer. origin says where that was learned. The caller must hold mu.
func (t *target) endStart(start membership.BackendStart, origin string, now time.Time) {
	if start.Instance == "" || t.tracker.Leave(start.Instance, start.Born, now) != lifecycle.Ended {
		return
	}
	t.log.Info("backend_leaving", zap.String("instance", start.Instance), zap.Int64("born", start.Born), zap.String("origin", origin))
	t.stopServing(now)
	go t.recordEnd(context.Background())
}

// logRateLimit logs a change of the rate limit. origin says where it was learned. The
// caller must hold mu.
func (t *target) logRateLimit(before call.RateLimit, origin string, now time.Time) {
	limit := t.rateTracker.Limit()
	t.log.Info("backend_rate_limit", zap.String("instance", t.currentStart().Instance), zap.String("origin", origin), zap.Bool("limited", limit.Stated),
		zap.Float64("per_second", limit.PerSecond), zap.Bool("limited_before", before.Stated), zap.Float64("per_second_before", before.PerSecond),
		zap.Float64("started_per_second", t.controller.StartsPerSecond(now)), zap.Int("running", len(t.executions)), zap.Int("slots", t.backend.Slots))
}
