package routing

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/fairshare"
)

// throttle refuses calls on the caller's side while the service refuses them. It
// counts requests and accepts per priority in a sliding window and computes the
// probability of a refusal as in "Client-Side Throttling" in Beyer et al., Site
// Reliability Engineering, chapter 21. A priority is refused at least as often as
// every more important one.
type throttle struct {
	windows   [call.NumPriorities]window
	nextProbe [call.NumPriorities]time.Time
	shares    [call.NumPriorities]*fairshare.Shares // nil until a call of the priority has a team
}

// priorityIndex returns the array index of a priority.
func priorityIndex(p call.Priority) int {
	return min(int(p), call.NumPriorities-1)
}

// probability returns the probability with which a call is refused.
func (t *throttle) probability(cfg *Config, p call.Priority, now time.Time) float64 {
	worst := 0.0
	for i := range priorityIndex(p) + 1 {
		worst = max(worst, t.windows[i].excessRatio(cfg, now))
	}
	return worst
}

// shouldRefuse decides whether a call is refused: by the cohort of its chain, so that
// the same chains are refused at every node and service, or at random without one. If
// several teams call, each is refused what exceeds its fair share of the calls let
// through. About once per ProbeInterval a call is let through, so that the end of the
// overload is noticed.
func (t *throttle) shouldRefuse(cfg *Config, q *Query, rng *rand.Rand, now time.Time) bool {
	prob := t.probability(cfg, q.Priority, now)
	shares := t.sharesOf(q)
	if prob <= 0 && shares == nil {
		return false
	}
	position := 1 - rng.Float64()
	if q.Cohort != 0 {
		position = fairshare.Position(q.Cohort)
	}
	refuse := position > 1-prob
	if shares != nil {
		within := shares.Offer(q.Team, position, 1-prob, now)
		if shares.Contended() {
			refuse = !within
		}
	}
	if prob <= 0 || !refuse {
		return false
	}
	nextProbe := &t.nextProbe[priorityIndex(q.Priority)]
	if now.Before(*nextProbe) {
		return true
	}
	*nextProbe = now.Add(jitter(cfg.ProbeInterval, rng))
	return false
}

// sharesOf returns the shares of the teams at the priority of a call, nil as long as no
// call of the priority had a team.
func (t *throttle) sharesOf(q *Query) *fairshare.Shares {
	shares := &t.shares[priorityIndex(q.Priority)]
	if *shares == nil && q.Team != "" {
		*shares = &fairshare.Shares{}
	}
	return *shares
}

// recordRefused counts a call that the throttle refused.
func (t *throttle) recordRefused(cfg *Config, p call.Priority, now time.Time) {
	t.windows[priorityIndex(p)].add(cfg, 1, 0, now)
}

// recordSent counts an attempt as accepted until its result is known.
func (t *throttle) recordSent(cfg *Config, p call.Priority, now time.Time) {
	t.windows[priorityIndex(p)].add(cfg, 1, 1, now)
}

// recordFinished corrects the count of a sent attempt according to its result.
func (t *throttle) recordFinished(cfg *Config, p call.Priority, res call.Result, now time.Time) {
	switch classify(res) {
	case signalRefused:
		if !shedWithoutLoad(cfg, res) {
			t.windows[priorityIndex(p)].add(cfg, 0, -1, now)
		}
	case signalSuccess:
		t.recoverEarly(cfg, p, res.Pressure, now)
	}
}

// shedWithoutLoad reports whether a backend server refused the call although less than
// BusyLoad of its limit was in use. Fewer calls would not make such a server accept more
// of them, so the refusal does not count against the service.
func shedWithoutLoad(cfg *Config, res call.Result) bool {
	p := res.Pressure
	return res.Reason == call.ReasonShed && p.Limit > 0 && p.Queued == 0 && float64(p.InFlight) < cfg.BusyLoad*float64(p.Limit)
}

// recoverEarly forgets a fraction of the refusals after an answer from a member
// that has no queue and admits the priority, so that the call rate recovers before
// the refusals leave the window.
func (t *throttle) recoverEarly(cfg *Config, p call.Priority, pressure call.Pressure, now time.Time) {
	if pressure.Limit > 0 && (pressure.Queued > 0 || pressure.AdmitPriority < p) {
		return
	}
	t.windows[priorityIndex(p)].forgetRefusals(cfg, now)
}
