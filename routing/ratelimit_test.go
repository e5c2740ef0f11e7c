package routing

import (
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestRateLimitedMemberIsUsedWhenItCanStartACall has one of two members refuse calls
// because of its announced rate limit. It must get none until the reported delay is
// over, and the refusals must not keep calls away from it afterwards.
func TestRateLimitedMemberIsUsedWhenItCanStartACall(t *testing.T) {
	const delay = 2 * time.Second
	sim := newSimulator(1, DefaultConfig())
	members := sim.add(2, "a")
	r, now := sim.callers[0], sim.now
	limited := members[0].Node
	p := call.Pressure{Limit: 1, InFlight: 1, AdmitPriority: call.PriorityLow, QueueDelay: delay, ServiceTime: 5 * time.Millisecond}
	p.Announced.RateLimit = call.RateLimit{Stated: true, PerSecond: 0.5}
	for range 5 {
		r.Start(limited, now)
		r.Finish(limited, call.Result{Outcome: call.Refused, Reason: call.ReasonQueueFull, Pressure: p}, now)
	}
	before, after := 0, 0
	for i := range 500 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		c, refusal := r.Pick(Query{Priority: call.PriorityNormal}, at)
		if refusal.Reason != call.ReasonNone {
			t.Fatalf("refused at %v although a member is free: %v", at.Sub(now), refusal.Reason)
		}
		if c.Member.Node != limited {
			r.Start(c.Member.Node, at)
			r.Finish(c.Member.Node, call.Result{Outcome: call.Answered, Status: 200, Latency: 10 * time.Millisecond}, at)
			continue
		}
		if at.Sub(now) < delay {
			before++
		} else {
			after++
		}
	}
	if before > 0 || after == 0 {
		t.Errorf("%d calls before the delay was over, %d after", before, after)
	}
}

// TestRefusedCallIsNotSentToAnotherExhaustedMember has the backend servers of both
// members wait for their rate limits. A call that one of them refused must not be sent
// to the other, which would refuse it too.
func TestRefusedCallIsNotSentToAnotherExhaustedMember(t *testing.T) {
	sim := newSimulator(1, DefaultConfig())
	members := sim.add(2, "a")
	r := sim.callers[0]
	p := call.Pressure{Limit: 10, AdmitPriority: call.PriorityLow, QueueDelay: 200 * time.Millisecond}
	p.Announced.RateLimit = call.RateLimit{Stated: true, PerSecond: 5}
	for _, m := range members {
		r.Start(m.Node, sim.now)
		r.Finish(m.Node, call.Result{Outcome: call.Refused, Reason: call.ReasonQueueFull, Pressure: p}, sim.now)
	}
	q := Query{Priority: call.PriorityNormal, AnyRegion: true, Exclude: []string{members[0].Node}}
	if _, refusal := r.Pick(q, sim.now.Add(100*time.Millisecond)); refusal.Reason != call.ReasonThrottled {
		t.Errorf("refusal %+v", refusal)
	}
	if c, refusal := r.Pick(q, sim.now.Add(300*time.Millisecond)); c.Member.Node != members[1].Node {
		t.Errorf("after the delay: %+v", refusal)
	}
}

// TestCallsLeaveTheRegionWhenItsMembersAreRateLimited has all members of the caller's
// region wait for their announced rate limits. The calls must go to the free member of
// another region, also when they are more than the budget for spilled calls.
func TestCallsLeaveTheRegionWhenItsMembersAreRateLimited(t *testing.T) {
	cfg := DefaultConfig()
	cfg.RemotePerSecond, cfg.RemoteBurst = 2000, 2000
	sim := newSimulator(1, cfg)
	members := sim.add(2, "a")
	sim.add(1, "b")[0].limit = 1000
	r := sim.callers[0]
	p := call.Pressure{Limit: 1, InFlight: 1, AdmitPriority: call.PriorityLow, QueueDelay: time.Second}
	p.Announced.RateLimit = call.RateLimit{Stated: true, PerSecond: 1}
	for _, m := range members {
		r.Start(m.Node, sim.now)
		r.Finish(m.Node, call.Result{Outcome: call.Answered, Status: 200, Pressure: p}, sim.now)
	}
	const calls = 90
	spilled := 0
	for i := range calls {
		at := sim.now.Add(time.Duration(i) * 10 * time.Millisecond)
		if c, _ := r.Pick(Query{Priority: call.PriorityNormal}, at); c.Rule == RuleSpill {
			spilled++
		}
	}
	if spilled < calls {
		t.Errorf("%d of %d calls left the region", spilled, calls)
	}
}
