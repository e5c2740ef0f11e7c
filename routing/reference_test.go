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

// referenceMember computes the state of one member from its complete history.
type referenceMember struct {
	member             Member
	inFlight           int
	pressure           call.Pressure
	pressureAt         time.Time
	inFlightAtPressure int
	results            []referenceResult
	leavingSince       time.Time
}

type referenceResult struct {
	at            time.Time
	failed        bool
	refused, good bool
}

// rate returns the fraction of bad results among the good and the bad ones, decayed by
// age and with one success assumed.
func (m *referenceMember) rate(cfg Config, bad func(referenceResult) bool, now time.Time) float64 {
	good, failed := 0.0, 0.0
	for _, r := range m.results {
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

// score computes the score of a member whose service time is known only from the
// pressure that it reported.
func (m *referenceMember) score(cfg Config, mean time.Duration, now time.Time) float64 {
	roundTrip := cfg.RemoteDelay
	if m.member.Region == cfg.Region {
		roundTrip = cfg.RegionDelay
	}
	if m.member.Region == cfg.Region && m.member.Domain == cfg.Domain {
		roundTrip = cfg.DomainDelay
	}
	age := now.Sub(m.pressureAt).Seconds()
	decay := math.Pow(0.5, age/cfg.PressureHalfLife.Seconds())
	limit, load, service := float64(cfg.DefaultLimit), float64(m.inFlight), mean.Seconds()
	if m.pressure.Limit > 0 {
		limit = float64(m.pressure.Limit)
		if limit < float64(cfg.DefaultLimit) && age > cfg.LimitMaxAge.Seconds() {
			limit = float64(cfg.DefaultLimit) // the member may have grown since
		}
		load += decay * math.Max(0, float64(m.pressure.InFlight+m.pressure.Queued-m.inFlightAtPressure))
		service += (m.pressure.ServiceTime.Seconds() - service) * math.Pow(0.5, age/cfg.OutcomeHalfLife.Seconds())
	}
	u := (load + 1) / limit
	succeeded := 1 - m.rate(cfg, func(r referenceResult) bool { return r.failed }, now)
	succeeded *= 1 - m.rate(cfg, func(r referenceResult) bool { return r.refused }, now)
	wait := decay * m.pressure.QueueDelay.Seconds()
	return (roundTrip.Seconds()+service)*(1+4*u*u) + wait + (1-succeeded)*cfg.FailureCost.Seconds()
}

// finish records the result of an attempt.
func (m *referenceMember) finish(res call.Result, now time.Time) {
	m.inFlight--
	if res.Pressure.Limit > 0 {
		m.pressure, m.pressureAt, m.inFlightAtPressure = res.Pressure, now, m.inFlight
	}
	if res.Reason == call.ReasonLeaving {
		m.leavingSince = now
		return
	}
	r := referenceResult{at: now, good: res.Outcome == call.Answered && res.Status < 500}
	r.refused = res.Outcome == call.Refused
	r.failed = !r.good && !r.refused
	m.results = append(m.results, r)
}

var genMember = rapid.Custom(func(t *rapid.T) Member {
	return Member{
		Region:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "region"),
		Domain:  rapid.SampledFrom([]string{"1", "2"}).Draw(t, "domain"),
		Leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		Suspect: rapid.IntRange(0, 4).Draw(t, "suspect") == 0,
	}
})

var genResult = rapid.Custom(func(t *rapid.T) call.Result {
	res := rapid.SampledFrom([]call.Result{
		{Outcome: call.Answered, Status: 200},
		{Outcome: call.Answered, Status: 503},
		{Outcome: call.Refused, Reason: call.ReasonQueueFull},
		{Outcome: call.Refused, Reason: call.ReasonLeaving},
		{Outcome: call.Unknown, Reason: call.ReasonConnLost},
	}).Draw(t, "end")
	if rapid.Bool().Draw(t, "reports pressure") {
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

// TestRouterMatchesReferenceModel checks, after random histories, that every score
// equals that of the reference model and that the selected member is allowed.
func TestRouterMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.Region, cfg.Domain = "a", "1"
		cfg.EjectAfter, cfg.EjectRate = 1000, 2 // no ejections, because a readmitted member loses its history
		r := New(cfg, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		now := startTime
		reference := map[string]*referenceMember{}
		var members []Member
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			m := genMember.Draw(t, "member")
			m.Node = string(rune('k' + i))
			members = append(members, m)
			reference[m.Node] = &referenceMember{member: m}
		}
		r.Update(members, now)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * time.Millisecond)
			ref := reference[rapid.SampledFrom(members).Draw(t, "node").Node]
			if ref.inFlight > 0 && rapid.Bool().Draw(t, "finish") {
				res := genResult.Draw(t, "result")
				res.Latency = ref.latency(cfg)
				r.Finish(ref.member.Node, res, now)
				ref.finish(res, now)
			} else {
				r.Start(ref.member.Node, now)
				ref.inFlight++
			}
			checkAgainstReference(t, r, reference, now)
		}
	})
}

// latency returns a latency that leaves no observed service time after the round trip is
// subtracted, so that only the reported service time counts.
func (m *referenceMember) latency(cfg Config) time.Duration {
	if m.member.Region != cfg.Region {
		return cfg.RemoteDelay
	}
	return cfg.DomainDelay
}

// checkAgainstReference compares all scores with the reference and checks one selection.
func checkAgainstReference(t *rapid.T, r *Router, reference map[string]*referenceMember, now time.Time) {
	mean := time.Duration(r.meanService.seconds(&r.cfg) * float64(time.Second))
	for _, s := range r.Snapshot(now) {
		want := reference[s.Node].score(r.cfg, mean, now)
		if math.Abs(s.Score-want) > 1e-6 {
			t.Fatalf("score of %s is %v, reference model has %v", s.Node, s.Score, want)
		}
	}
	q := Query{
		Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Exclude:  rapid.SliceOfN(rapid.SampledFrom([]string{"k", "l", "m"}), 0, 2).Draw(t, "exclude"),
	}
	c, refusal := r.Pick(q, now)
	usable, inRegionHealthy := 0, 0
	for _, ref := range reference {
		leaving := !ref.leavingSince.IsZero() && now.Sub(ref.leavingSince) < r.cfg.LeavingHold
		if ref.member.Leaving || leaving || slices.Contains(q.Exclude, ref.member.Node) {
			continue
		}
		usable++
		if !ref.member.Suspect && ref.member.Region == "a" {
			inRegionHealthy++
		}
	}
	if refusal != (Refusal{}) {
		if (refusal.Reason == call.ReasonNoMember) != (usable == 0) || refusal.RetryAfter <= 0 {
			t.Fatalf("refused %v with %d usable members", refusal, usable)
		}
		return
	}
	ref := reference[c.Member.Node]
	leaving := !ref.leavingSince.IsZero() && now.Sub(ref.leavingSince) < r.cfg.LeavingHold
	if ref.member.Leaving || leaving || slices.Contains(q.Exclude, c.Member.Node) {
		t.Fatalf("chose %v, which is leaving or excluded and must get nothing", c)
	}
	if ref.member.Suspect && c.Rule != RuleSuspect || inRegionHealthy > 0 && c.Rule != RuleSpill && ref.member.Region != "a" {
		t.Fatalf("chose %v with %d healthy members in the region", c, inRegionHealthy)
	}
	if c.RunnerUp != "" && (c.RunnerUp == c.Member.Node || c.RunnerUpScore < c.Score) {
		t.Fatalf("chose %v over a better member", c)
	}
	if c.Candidates > usable {
		t.Fatalf("%d candidates among %d usable members", c.Candidates, usable)
	}
}
