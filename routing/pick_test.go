package routing

import (
	"math/rand/v2"
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

// TestLeavingMemberThatAnnouncesItselfAnew checks that a replaced backend
// server beside the same node does not wait for LeavingHold.
func TestLeavingMemberThatAnnouncesItselfAnew(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	m := Member{Node: "a", Incarnation: 2}
	r.Update([]Member{m}, now)
	r.Start("a", now)
	r.Finish("a", call.Result{Outcome: call.Refused, Reason: call.ReasonLeaving}, now)
	r.Update([]Member{m}, now)
	if _, refusal := r.Pick(Query{}, now); refusal.Reason != call.ReasonNoMember {
		t.Fatalf("a leaving member was not ruled out: %+v", refusal)
	}
	m.Incarnation++
	r.Update([]Member{m}, now)
	if c, refusal := r.Pick(Query{}, now); refusal.Reason != call.ReasonNone || c.Member.Node != "a" {
		t.Fatalf("got %+v after the new announcement", refusal)
	}
}

// TestLocalMembersComeFirst keeps calls in the failure domain while its member has
// room and is not much worse than the others.
func TestLocalMembersComeFirst(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Region, cfg.Domain = "r1", "d1"
	now := time.Unix(100, 0)
	members := []Member{
		{Node: "own", Region: "r1", Domain: "d1"}, {Node: "next", Region: "r1", Domain: "d2"}, {Node: "far", Region: "r2", Domain: "d3"},
	}
	told := func(limit, inFlight int, service time.Duration) call.Result {
		return call.Result{Outcome: call.Answered, Status: 200, Latency: service, Pressure: call.Pressure{Limit: limit, InFlight: inFlight, ServiceTime: service, AdmitPriority: call.PriorityLow}}
	}
	for name, c := range map[string]struct {
		own, next call.Result
		want      string
	}{
		"both idle":      {told(10, 0, 20*time.Millisecond), told(10, 0, 20*time.Millisecond), "own"},
		"somewhat slow":  {told(10, 4, 40*time.Millisecond), told(10, 0, 20*time.Millisecond), "own"},
		"full":           {told(10, 10, 20*time.Millisecond), told(10, 2, 20*time.Millisecond), "next"},
		"much too slow":  {told(10, 5, 200*time.Millisecond), told(10, 0, 20*time.Millisecond), "next"},
		"region is full": {told(10, 12, 20*time.Millisecond), told(10, 12, 20*time.Millisecond), "far"},
	} {
		r := New(cfg, rand.New(rand.NewPCG(1, 2)))
		r.Update(members, now)
		for node, res := range map[string]call.Result{"own": c.own, "next": c.next, "far": told(10, 1, 20*time.Millisecond)} {
			r.Start(node, now)
			r.Finish(node, res, now)
			r.Record(call.PriorityNormal, res, now)
		}
		choice, refusal := r.Pick(Query{Priority: call.PriorityNormal}, now)
		if refusal.Reason != call.ReasonNone || choice.Member.Node != c.want {
			t.Errorf("%s: %s by %s (%s), want %s", name, choice.Member.Node, choice.Rule, refusal.Reason, c.want)
		}
	}
}

// TestRefusedCallsGoWhereTheyEndSoonest sends a call that a near member refused to
// a faster one, also in another region.
func TestRefusedCallsGoWhereTheyEndSoonest(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Region, cfg.Domain = "r1", "d1"
	now := time.Unix(100, 0)
	r := New(cfg, rand.New(rand.NewPCG(1, 2)))
	r.Update([]Member{{Node: "own", Region: "r1", Domain: "d1"}, {Node: "next", Region: "r1", Domain: "d2"}, {Node: "far", Region: "r2", Domain: "d3"}}, now)
	for node, service := range map[string]time.Duration{"own": 900 * time.Millisecond, "next": 800 * time.Millisecond, "far": 300 * time.Millisecond} {
		r.Start(node, now)
		r.Finish(node, call.Result{Outcome: call.Answered, Status: 200, Latency: service, Pressure: call.Pressure{Limit: 10, ServiceTime: service, AdmitPriority: call.PriorityLow}}, now)
	}
	choice, _ := r.Pick(Query{Priority: call.PriorityCritical, Exclude: []string{"own"}, AnyRegion: true}, now)
	if choice.Member.Node != "far" || choice.Rule != RuleSoonest {
		t.Fatalf("went to %s by %s", choice.Member.Node, choice.Rule)
	}
}

// wholeAnswer is an answer of a member that is neither loaded nor slow.
var wholeAnswer = call.Result{Outcome: call.Answered, Status: 200, Latency: 55 * time.Millisecond,
	Pressure: call.Pressure{Limit: 40, InFlight: 4, ServiceTime: 55 * time.Millisecond, AdmitPriority: call.PriorityLow}}

// regionOfThree returns the router of a caller in failure domain d1, whose region has
// the member own there and two in another failure domain.
func regionOfThree() (*Router, time.Time) {
	cfg := DefaultConfig()
	cfg.Region, cfg.Domain = "r1", "d1"
	r := New(cfg, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(100, 0)
	r.Update([]Member{{Node: "own", Region: "r1", Domain: "d1"}, {Node: "next", Region: "r1", Domain: "d2"}, {Node: "third", Region: "r1", Domain: "d2"}}, now)
	return r, now
}

// TestBusyMemberThatStartsToFailIsLeft lets the member of the own failure domain lose
// two of five answers after it has served many calls well. Half a second later most
// calls must go to the member that answers.
func TestBusyMemberThatStartsToFailIsLeft(t *testing.T) {
	r, now := regionOfThree()
	whole := wholeAnswer
	lost := call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost, Latency: 55 * time.Millisecond}
	finish := func(node string, res call.Result) {
		r.Start(node, now)
		r.Finish(node, res, now)
		r.Record(call.PriorityNormal, res, now)
	}
	const perSecond = 80
	for i := range 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		finish("own", whole)
		if i%perSecond == 0 {
			finish("next", whole)
			finish("third", whole)
		}
	}
	own, late := 0, 0
	for i := range 2 * perSecond {
		now = now.Add(time.Second / perSecond)
		choice, refusal := r.Pick(Query{Priority: call.PriorityNormal}, now)
		if refusal.Reason != call.ReasonNone {
			t.Fatalf("refused: %v", refusal.Reason)
		}
		node, res := choice.Member.Node, whole
		if node == "own" && i%5 < 2 {
			res = lost
		}
		finish(node, res)
		if i >= perSecond/2 {
			late++
			if node == "own" {
				own++
			}
		}
	}
	if own*4 > late {
		t.Errorf("%d of %d calls still went to the member that loses answers", own, late)
	}
}

// TestToldLossesKeepCallsAway lets a member tell that it loses answers, of which this
// caller has met none; calls come back once that is old.
func TestToldLossesKeepCallsAway(t *testing.T) {
	r, now := regionOfThree()
	whole := wholeAnswer
	for node, lost := range map[string]float64{"own": 0.3, "next": 0, "third": 0} {
		res := whole
		res.Pressure.Lost = lost
		r.Start(node, now)
		r.Finish(node, res, now)
	}
	picked := func() string {
		choice, refusal := r.Pick(Query{Priority: call.PriorityNormal}, now)
		if refusal.Reason != call.ReasonNone {
			t.Fatalf("refused: %v", refusal.Reason)
		}
		return choice.Member.Node
	}
	for range 20 {
		if node := picked(); node == "own" {
			t.Fatal("a call went to the member that loses answers")
		}
	}
	if now = now.Add(5 * r.cfg.LostHalfLife); picked() != "own" {
		t.Fatal("calls do not come back")
	}
}

// TestEjectionsAreTold checks what the log says of an ejection and its end.
func TestEjectionsAreTold(t *testing.T) {
	w := newWorld(1, DefaultConfig())
	bad := w.add(2, "a")[0]
	w.add(1, "b")
	r := w.callers[0]
	for range r.cfg.EjectAfter {
		fail(r, bad.Member, w.now)
	}
	told := r.TakeChanges()
	if len(told) != 1 || told[0].Node != bad.Node || !told[0].Ejected || told[0].FailureRate < r.cfg.EjectRate || !told[0].Until.After(w.now) {
		t.Fatalf("told %+v of an ejection", told)
	}
	fail(r, bad.Member, w.now)
	if again := r.TakeChanges(); len(again) != 0 {
		t.Fatalf("told %+v again", again)
	}
	w.now = told[0].Until.Add(time.Millisecond)
	c, _ := r.Pick(Query{Priority: call.PriorityNormal}, w.now)
	if c.Rule != RuleProbe || c.Member.Node != bad.Node {
		t.Fatalf("chose %+v instead of the probe", c)
	}
	r.Start(bad.Node, w.now)
	r.Finish(bad.Node, call.Result{Outcome: call.Answered, Status: 200}, w.now)
	if told := r.TakeChanges(); len(told) != 1 || told[0].Node != bad.Node || told[0].Ejected || told[0].OthersFailAlike {
		t.Fatalf("told %+v of a probe that went well", told)
	}
}
