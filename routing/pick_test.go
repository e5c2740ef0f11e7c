package routing

import (
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// saturate puts as many own calls on the member as it takes without news.
func saturate(r *Router, s *server, now time.Time) {
	for range r.cfg.DefaultLimit {
		r.Start(s.Node, now)
	}
}

func TestSpillNeedsAMemberThatServes(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	saturate(w.callers[0], w.add(1, "a")[0], w.now)
	w.add(1, "b")
	for left, want := range map[time.Duration]string{45 * time.Millisecond: RuleOnlyOne, 200 * time.Millisecond: RuleSpill} {
		c, _ := w.callers[0].Pick(Query{Priority: call.PriorityHigh, Deadline: w.now.Add(left)}, w.now)
		if c.Rule != want {
			t.Errorf("with %v left: rule %q, want %q", left, c.Rule, want)
		}
	}
	saturate(w.callers[0], w.servers[1], w.now)
	if c, _ := w.callers[0].Pick(Query{Priority: call.PriorityHigh}, w.now); c.Rule != RuleOnlyOne {
		t.Errorf("with both regions saturated: rule %q", c.Rule)
	}
	told := call.Pressure{Limit: 1000, AdmitPriority: call.PriorityCritical}
	w.callers[0].Finish(w.servers[1].Node, call.Result{Outcome: call.Answered, Status: 200, Pressure: told}, w.now)
	if c, _ := w.callers[0].Pick(Query{Priority: call.PriorityHigh}, w.now); c.Rule != RuleOnlyOne {
		t.Errorf("with a far member that refuses the priority: rule %q", c.Rule)
	}
}

func TestSpillBudgetKeepsAPartForCriticalCalls(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	saturate(w.callers[0], w.add(1, "a")[0], w.now)
	w.add(1, "b")
	spilled := map[call.Priority]int{}
	for _, p := range []call.Priority{call.PriorityLow, call.PriorityCritical} {
		for range 30 {
			if c, _ := w.callers[0].Pick(Query{Priority: p}, w.now); c.Rule == RuleSpill {
				spilled[p]++
			}
		}
	}
	t.Logf("spilled of 30 each: %v", spilled)
	if spilled[call.PriorityLow] < 5 || spilled[call.PriorityCritical] < 12 {
		t.Errorf("low calls used up the budget")
	}
}

func TestRemoteCallsAreBounded(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	w.add(2, "b")
	w.run(2*time.Second, [call.NumPriorities]float64{call.PriorityCritical: 500})
	most := int(w.callers[0].cfg.RemoteBurst + 2*w.callers[0].cfg.RemotePerSecond)
	if n := w.rules[RuleRemote]; n < most/2 || n > most {
		t.Errorf("%d remote calls, want at most %d", n, most)
	}
}

func TestSparseCallerIsNotThrottledByOneRefusal(t *testing.T) {
	r := newWorld(1, DefaultConfig()).callers[0]
	r.throttle.sent(&r.cfg, call.PriorityCritical, start)
	r.Record(call.PriorityCritical, call.Result{Outcome: call.Refused, Reason: call.ReasonQueueFull}, start)
	if p := r.ThrottleProbability(call.PriorityCritical, start); p != 0 {
		t.Errorf("probability %v", p)
	}
}

// fail ends one attempt at the member in silence.
func fail(r *Router, m Member, now time.Time) {
	r.Start(m.Node, now)
	r.Finish(m.Node, call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost}, now)
}

func TestEjectionByRateOutlastsAFlappingEntry(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	bad := w.add(2, "a")[0]
	r := w.callers[0]
	for range 4 {
		fail(r, bad.Member, w.now)
		fail(r, bad.Member, w.now)
		r.Start(bad.Node, w.now)
		r.Finish(bad.Node, call.Result{Outcome: call.Answered, Status: 200}, w.now)
		fail(r, bad.Member, w.now)
	}
	r.Update(nil, w.now)
	w.publish()
	if st := r.Snapshot(w.now); !st[0].Ejected || st[1].Ejected {
		t.Errorf("status %+v", st)
	}
}

func TestDoomedCallIsRefused(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	near := w.add(1, "a")[0]
	told := call.Pressure{Limit: 10, InFlight: 10, Queued: 40, QueueDelay: 80 * time.Millisecond, AdmitPriority: call.PriorityNormal}
	w.callers[0].Start(near.Node, w.now)
	w.callers[0].Finish(near.Node, call.Result{Outcome: call.Answered, Status: 200, Pressure: told}, w.now)
	q := Query{Priority: call.PriorityNormal, Deadline: w.now.Add(60 * time.Millisecond)}
	if _, refusal := w.callers[0].Pick(q, w.now); refusal.Reason != call.ReasonDeadline {
		t.Errorf("a call that waits longer than its deadline: refusal %v", refusal)
	}
	q.Priority = call.PriorityHigh
	if _, refusal := w.callers[0].Pick(q, w.now); refusal != (Refusal{}) {
		t.Errorf("a call that passes the queue: refusal %v", refusal)
	}
}

func TestEjectedMemberGetsOneProbeThatIsNotCritical(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	bad := w.add(3, "a")[1]
	r := w.callers[0]
	r.Start(bad.Node, w.now) // a long call that holds up no probe
	for range r.cfg.EjectAfter {
		fail(r, bad.Member, w.now)
	}
	w.now = w.now.Add(2 * time.Second)
	for _, p := range []call.Priority{call.PriorityCritical, call.PriorityNormal, call.PriorityNormal} {
		c, _ := r.Pick(Query{Priority: p}, w.now)
		r.Start(c.Member.Node, w.now)
		w.rules[c.Rule+" "+p.String()]++
	}
	if w.rules["probe normal"] != 1 || w.rules["probe critical"] != 0 {
		t.Errorf("rules %v", w.rules)
	}
	r.Finish(bad.Node, call.Result{Outcome: call.Answered, Status: 200}, w.now)
	if st := r.Snapshot(w.now)[1]; st.Ejected || st.Ramp != r.cfg.RampFloor {
		t.Errorf("after a good probe: %+v", st)
	}
}
