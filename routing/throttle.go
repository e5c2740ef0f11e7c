package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// throttle refuses calls at the caller's side while the service refuses them.
// It counts requests and accepts per priority in a sliding window and refuses
// with the probability given by "Client-Side Throttling" in Beyer et al., Site
// Reliability Engineering, chapter 21. A priority is refused at least as often
// as every more important one.
type throttle struct {
	windows   [call.NumPriorities]window
	nextProbe [call.NumPriorities]time.Time
}

// index returns the position of a priority in the arrays.
func index(p call.Priority) int {
	return min(int(p), call.NumPriorities-1)
}

// probability returns the probability with which a call is refused.
func (t *throttle) probability(cfg *Config, p call.Priority, now time.Time) float64 {
	worst := 0.0
	for i := range index(p) + 1 {
		worst = max(worst, t.windows[i].excess(cfg, now))
	}
	return worst
}

// refuse decides by chance whether a call is refused. At least one call per
// ProbeInterval is sent, so that the end of the overload is found.
func (t *throttle) refuse(cfg *Config, p call.Priority, rng *rand.Rand, now time.Time) bool {
	prob := t.probability(cfg, p, now)
	if prob <= 0 || rng.Float64() >= prob {
		return false
	}
	next := &t.nextProbe[index(p)]
	if now.Before(*next) {
		return true
	}
	*next = now.Add(spread(cfg.ProbeInterval, rng))
	return false
}

// refused counts a call that was refused here.
func (t *throttle) refused(cfg *Config, p call.Priority, now time.Time) {
	t.windows[index(p)].add(cfg, 1, 0, now)
}

// sent counts an attempt of which the outcome is still to come.
func (t *throttle) sent(cfg *Config, p call.Priority, now time.Time) {
	t.windows[index(p)].add(cfg, 1, 1, now)
}

// finished corrects the count of a sent attempt by its result.
func (t *throttle) finished(cfg *Config, p call.Priority, res call.Result, now time.Time) {
	switch judge(res) {
	case verdictRefused:
		t.windows[index(p)].add(cfg, 0, -1, now)
	case verdictGood:
		t.recover(cfg, p, res.Pressure, now)
	}
}

// recover forgets a part of the refusals after an answer of a member that has
// no queue, so that the rate of calls grows back faster than the window passes.
func (t *throttle) recover(cfg *Config, p call.Priority, told call.Pressure, now time.Time) {
	if told.Limit > 0 && (told.Queued > 0 || told.AdmitPriority < p) {
		return
	}
	t.windows[index(p)].forget(cfg, now)
}
