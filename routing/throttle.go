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

// windowSlots is the number of slots that a sliding window is cut into.
const windowSlots = 10

// window counts requests and accepts over the last ThrottleWindow.
type window struct {
	slots [windowSlots]slot
}

// slot is one part of a window.
type slot struct {
	number   int64 // of the slot, counted from the epoch
	requests float64
	accepts  float64
}

// slotNumber returns the number of the slot that now falls into.
func slotNumber(cfg *Config, now time.Time) int64 {
	return now.UnixNano() / max(int64(cfg.ThrottleWindow/windowSlots), 1)
}

// add counts into the current slot.
func (w *window) add(cfg *Config, requests, accepts float64, now time.Time) {
	n := slotNumber(cfg, now)
	s := &w.slots[uint64(n)%windowSlots]
	if s.number != n {
		*s = slot{number: n}
	}
	s.requests += requests
	s.accepts += accepts
}

// sums returns the requests and accepts in the window.
func (w *window) sums(cfg *Config, now time.Time) (requests, accepts float64) {
	oldest := slotNumber(cfg, now) - windowSlots
	for _, s := range w.slots {
		if s.number > oldest {
			requests += s.requests
			accepts += s.accepts
		}
	}
	return requests, max(accepts, 0)
}

// excess returns the part of the requests that go beyond what is accepted.
func (w *window) excess(cfg *Config, now time.Time) float64 {
	requests, accepts := w.sums(cfg, now)
	if requests < cfg.ThrottleMinRequests {
		return 0
	}
	return max((requests-cfg.ThrottleFactor*accepts)/(requests+1), 0)
}

// forget removes a part of the refusals from each slot.
func (w *window) forget(cfg *Config, now time.Time) {
	oldest := slotNumber(cfg, now) - windowSlots
	for i := range w.slots {
		s := &w.slots[i]
		if s.number <= oldest || s.requests <= s.accepts {
			continue
		}
		s.requests -= cfg.RecoveryForget * (s.requests - s.accepts)
	}
}
