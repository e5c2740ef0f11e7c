package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"pgregory.net/rapid"
)

// naive keeps the whole history of one member and computes from it.
type naive struct {
	member    Member
	inFlight  int
	told      call.Pressure
	toldAt    time.Time
	ownAtTold int
	results   []naiveResult
	leftAt    time.Time
}

type naiveResult struct {
	at            time.Time
	failed        bool
	refused, good bool
}

// rate returns the part of bad results among the good and the bad.
func (n *naive) rate(cfg Config, bad func(naiveResult) bool, now time.Time) float64 {
	good, failed := 0.0, 0.0
	for _, r := range n.results {
		k := math.Pow(0.5, now.Sub(r.at).Seconds()/cfg.OutcomeHalfLife.Seconds())
		if r.good {
			good += k
		}
		if bad(r) {
			failed += k
		}
	}
	return failed / (good + failed + 1)
}

// score computes the expected response time of a member whose service time is
// known from what it told alone.
func (n *naive) score(cfg Config, mean time.Duration, now time.Time) float64 {
	way := cfg.RemoteDelay
	if n.member.Region == cfg.Region {
		way = cfg.RegionDelay
	}
	if n.member.Region == cfg.Region && n.member.Domain == cfg.Domain {
		way = cfg.DomainDelay
	}
	age := now.Sub(n.toldAt).Seconds()
	half := math.Pow(0.5, age/cfg.PressureHalfLife.Seconds())
	limit, load, service := float64(cfg.DefaultLimit), float64(n.inFlight), mean.Seconds()
	if n.told.Limit > 0 {
		limit = float64(n.told.Limit)
		load += half * math.Max(0, float64(n.told.InFlight+n.told.Queued-n.ownAtTold))
		service += (n.told.ServiceTime.Seconds() - service) * math.Pow(0.5, age/cfg.OutcomeHalfLife.Seconds())
	}
	u := (load + 1) / limit
	ok := 1 - n.rate(cfg, func(r naiveResult) bool { return r.failed }, now)
	ok *= 1 - n.rate(cfg, func(r naiveResult) bool { return r.refused }, now)
	wait := half * n.told.QueueDelay.Seconds()
	return (way.Seconds()+service)*(1+4*u*u) + wait + (1-ok)*cfg.FailureCost.Seconds()
}

// observe records the end of an attempt.
func (n *naive) observe(res call.Result, now time.Time) {
	n.inFlight--
	if res.Pressure.Limit > 0 {
		n.told, n.toldAt, n.ownAtTold = res.Pressure, now, n.inFlight
	}
	if res.Reason == call.ReasonLeaving {
		n.leftAt = now
		return
	}
	r := naiveResult{at: now, good: res.Outcome == call.Answered && res.Status < 500}
	r.refused = res.Outcome == call.Refused
	r.failed = !r.good && !r.refused
	n.results = append(n.results, r)
}

var anyMember = rapid.Custom(func(t *rapid.T) Member {
	return Member{
		Region:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "region"),
		Domain:  rapid.SampledFrom([]string{"1", "2"}).Draw(t, "domain"),
		Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		Suspect: rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
	}
})

var anyEnd = rapid.Custom(func(t *rapid.T) call.Result {
	res := rapid.SampledFrom([]call.Result{
		{Outcome: call.Answered, Status: 200},
		{Outcome: call.Answered, Status: 503},
		{Outcome: call.Refused, Reason: call.ReasonQueueFull},
		{Outcome: call.Refused, Reason: call.ReasonLeaving},
		{Outcome: call.Unknown, Reason: call.ReasonConnLost},
	}).Draw(t, "end")
	if rapid.Bool().Draw(t, "told") {
		res.Pressure = call.Pressure{
			Limit:         rapid.IntRange(1, 8).Draw(t, "limit"),
			InFlight:      rapid.IntRange(0, 8).Draw(t, "in_flight"),
			Queued:        rapid.IntRange(0, 4).Draw(t, "queued"),
			AdmitPriority: call.Priority(rapid.IntRange(0, 3).Draw(t, "admit")),
			QueueDelay:    time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * time.Millisecond,
			ServiceTime:   time.Duration(rapid.IntRange(1, 50).Draw(t, "service")) * time.Millisecond,
		}
	}
	return res
})

// The router agrees with the naive version on every score, and keeps to the
// rules on whom it may choose, after any history.
func TestRouterAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.Region, cfg.Domain = "a", "1"
		cfg.EjectAfter, cfg.EjectRate = 1000, 2 // the history of an ejected member starts anew
		r := New(cfg, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now := start
		all := map[string]*naive{}
		var members []Member
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			m := anyMember.Draw(t, "member")
			m.Node = string(rune('k' + i))
			members = append(members, m)
			all[m.Node] = &naive{member: m}
		}
		r.Update(members, now)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond)
			n := all[rapid.SampledFrom(members).Draw(t, "node").Node]
			if n.inFlight > 0 && rapid.Bool().Draw(t, "finish") {
				res := anyEnd.Draw(t, "result")
				res.Latency = n.latency(cfg)
				r.Finish(n.member.Node, res, now)
				n.observe(res, now)
			} else {
				r.Start(n.member.Node, now)
				n.inFlight++
			}
			compare(t, r, all, now)
		}
	})
}

// latency is the way alone, so that the service time is only what is told.
func (n *naive) latency(cfg Config) time.Duration {
	if n.member.Region != cfg.Region {
		return cfg.RemoteDelay
	}
	return cfg.DomainDelay
}

// compare checks all scores and one choice.
func compare(t *rapid.T, r *Router, all map[string]*naive, now time.Time) {
	mean := time.Duration(r.mean.seconds(&r.cfg) * float64(time.Second))
	for _, s := range r.Snapshot(now) {
		want := all[s.Node].score(r.cfg, mean, now)
		if math.Abs(s.Score-want) > 1e-6 {
			t.Fatalf("score of %s is %v, naive %v", s.Node, s.Score, want)
		}
	}
	q := Query{
		Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Exclude:  rapid.SliceOfN(rapid.SampledFrom([]string{"k", "l", "m"}), 0, 2).Draw(t, "exclude"),
	}
	c, refusal := r.Pick(q, now)
	usable, nearHealthy := 0, 0
	for _, n := range all {
		left := !n.leftAt.IsZero() && now.Sub(n.leftAt) < r.cfg.LeavingHold
		if n.member.Leaving || left || slices.Contains(q.Exclude, n.member.Node) {
			continue
		}
		usable++
		if !n.member.Suspect && n.member.Region == "a" {
			nearHealthy++
		}
	}
	if refusal != (Refusal{}) {
		if (refusal.Reason == call.ReasonNoMember) != (usable == 0) || refusal.RetryAfter <= 0 {
			t.Fatalf("refused %v with %d usable members", refusal, usable)
		}
		return
	}
	n := all[c.Member.Node]
	left := !n.leftAt.IsZero() && now.Sub(n.leftAt) < r.cfg.LeavingHold
	if n.member.Leaving || left || slices.Contains(q.Exclude, c.Member.Node) {
		t.Fatalf("chose %v, which must get nothing", c)
	}
	if n.member.Suspect && c.Rule != RuleSuspect || nearHealthy > 0 && c.Rule != RuleSpill && n.member.Region != "a" {
		t.Fatalf("chose %v with %d healthy near members", c, nearHealthy)
	}
	if c.RunnerUp != "" && (c.RunnerUp == c.Member.Node || c.RunnerUpScore < c.Score) {
		t.Fatalf("chose %v over a better member", c)
	}
	if c.Candidates > usable {
		t.Fatalf("%d candidates of %d usable members", c.Candidates, usable)
	}
}
