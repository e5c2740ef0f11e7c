package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

func TestFastFailingMemberDoesNotAttractCalls(t *testing.T) {
	sim := newSimulator(4, DefaultConfig())
	bad := sim.add(6, "a")[2]
	bad.behaviour = failsImmediately
	sim.run(10*time.Second, normalLoad(100))
	total, perNode := sim.takeCallCounts()
	t.Logf("failing member got %d of %d calls", perNode[bad.Node], total)
	if perNode[bad.Node]*50 > total {
		t.Errorf("failing member got more than 2 in 100 calls")
	}
	bad.behaviour = serves
	sim.run(30*time.Second, normalLoad(100))
	sim.takeCallCounts()
	sim.run(5*time.Second, normalLoad(100))
	if total, perNode = sim.takeCallCounts(); perNode[bad.Node]*12 < total {
		t.Errorf("recovered member got %d of %d calls", perNode[bad.Node], total)
	}
}

func TestNewMemberRampsUp(t *testing.T) {
	sim := newSimulator(8, DefaultConfig())
	sim.add(5, "a")
	sim.run(2*time.Second, normalLoad(300))
	newest := sim.add(1, "a")[0]
	newest.Started = sim.now
	sim.publish()
	sim.takeCallCounts()
	sim.run(time.Second, normalLoad(300))
	total, perNode := sim.takeCallCounts()
	t.Logf("first second: %d of %d calls", perNode[newest.Node], total)
	if perNode[newest.Node]*15 > total {
		t.Errorf("new member got more than its ramp allows")
	}
	sim.run(12*time.Second, normalLoad(300))
	sim.takeCallCounts()
	sim.run(2*time.Second, normalLoad(300))
	total, perNode = sim.takeCallCounts()
	t.Logf("after the ramp: %d of %d calls", perNode[newest.Node], total)
	if perNode[newest.Node]*12 < total {
		t.Errorf("member is not fully used after its ramp")
	}
}

func TestCallersDoNotHerdOnTheIdleMember(t *testing.T) {
	sim := newSimulator(50, DefaultConfig())
	idle := sim.add(6, "a")[0]
	for _, s := range sim.servers {
		pressure := call.Pressure{Limit: s.limit, ServiceTime: s.service, InFlight: 8, AdmitPriority: call.PriorityLow}
		if s == idle {
			pressure.InFlight = 0
		}
		for _, r := range sim.callers {
			r.Start(s.Node, sim.now)
			r.Finish(s.Node, call.Result{Outcome: call.Answered, Status: 200, Pressure: pressure, Latency: s.service}, sim.now)
		}
	}
	picked := 0
	for i := range 500 {
		c, _ := sim.callers[i%50].Pick(Query{Priority: call.PriorityNormal}, sim.now)
		if c.Member.Node == idle.Node {
			picked++
		}
	}
	t.Logf("idle member got %d of 500 calls before the next report", picked)
	if picked < 100 || picked > 225 {
		t.Errorf("want about two in six calls at the idle member")
	}
}

func TestFailingMemberGetsNoCallsOfSaturatedMember(t *testing.T) {
	sim := newSimulator(4, DefaultConfig())
	bad := sim.add(2, "a")[0]
	bad.behaviour = failsImmediately
	sim.run(10*time.Second, normalLoad(500))
	total, perNode := sim.takeCallCounts()
	t.Logf("failing member got %d of %d calls while the other one was saturated", perNode[bad.Node], total)
	if perNode[bad.Node]*100 > total {
		t.Errorf("failing member got more than 1 in 100 calls")
	}
}

func TestSpillStaysWithinItsBudget(t *testing.T) {
	cfg := DefaultConfig()
	cfg.SpillRatio = 0.02
	sim := newSimulator(2, cfg)
	sim.add(2, "a")
	for _, s := range sim.add(4, "b") {
		s.limit = 100
	}
	sim.run(2*time.Second, normalLoad(200))
	if sim.rules[RuleSpill] != 0 {
		t.Errorf("%d calls spilled although members in the region had capacity", sim.rules[RuleSpill])
	}
	inRegion := sim.rules[RuleLeastLoaded] + sim.rules[RuleOnlyOne]
	const seconds = 5
	sim.run(seconds*time.Second, normalLoad(2500))
	inRegion = sim.rules[RuleLeastLoaded] + sim.rules[RuleOnlyOne] - inRegion
	budget := 2*(cfg.SpillBurst+seconds*cfg.SpillPerSecond) + cfg.SpillRatio*float64(inRegion)
	t.Logf("%d calls spilled and %d stayed in the region, budget %.0f", sim.rules[RuleSpill], inRegion, budget)
	if n := sim.rules[RuleSpill]; float64(n) < budget/4 || float64(n) > budget {
		t.Errorf("want the spill to use at least a quarter of its budget and no more than all of it")
	}
}

// tally counts the calls and their results per priority.
type tally struct{ answered, total, throttled [call.NumPriorities]int }

func (t *tally) count(p call.Priority, res call.Result) {
	t.total[p]++
	if res.Outcome == call.Answered {
		t.answered[p]++
	}
	if res.Reason == call.ReasonThrottled {
		t.throttled[p]++
	}
}

func (t *tally) answeredFraction(p call.Priority) float64 {
	return float64(t.answered[p]) / float64(max(t.total[p], 1))
}

func TestThrottleShedsLowFirstAndRecovers(t *testing.T) {
	sim := newSimulator(10, DefaultConfig())
	sim.add(4, "a")
	load := [call.NumPriorities]float64{20, 50, 100, 100} // 2,700 calls/s of a capacity of 4,000 calls/s
	sim.run(3*time.Second, load)

	for _, s := range sim.servers {
		s.service *= 10
	}
	sim.run(time.Second, load) // serve the calls admitted before the slowdown
	var counts tally
	sim.onResult = counts.count
	sim.takeCallCounts()
	sim.rules = map[string]int{}
	sim.run(10*time.Second, load)
	refused := 0
	for _, s := range sim.servers {
		refused += s.refusals
	}
	sent, _ := sim.takeCallCounts()
	t.Logf("overload: answered fractions %.2f %.2f %.2f %.2f, %d of %d sent calls refused, rules %v",
		counts.answeredFraction(0), counts.answeredFraction(1), counts.answeredFraction(2), counts.answeredFraction(3), refused, sent, sim.rules)
	if counts.answeredFraction(call.PriorityCritical) < 0.95 || counts.throttled[call.PriorityCritical] > 0 || counts.answeredFraction(call.PriorityLow) > 0.3 {
		t.Errorf("low calls were not shed before critical ones")
	}
	if refused*4 > sent {
		t.Errorf("more than a quarter of the sent calls were refused")
	}

	for _, s := range sim.servers {
		s.service /= 10
	}
	sim.run(1500*time.Millisecond, load)
	counts = tally{}
	sim.run(500*time.Millisecond, load)
	t.Logf("1.5 s after the overload: answered fractions %.2f %.2f %.2f %.2f", counts.answeredFraction(0), counts.answeredFraction(1), counts.answeredFraction(2), counts.answeredFraction(3))
	if counts.answeredFraction(call.PriorityLow) < 0.95 {
		t.Errorf("low calls not answered again after the overload")
	}
}

func TestRegionPartitionKeepsMembersAndRecovers(t *testing.T) {
	for _, onlyRegion := range []bool{true, false} {
		sim := newSimulator(2, DefaultConfig())
		unreachable := sim.add(3, "b")
		if !onlyRegion {
			sim.add(3, "c")
		}
		sim.run(2*time.Second, normalLoad(40))
		for _, s := range unreachable {
			s.behaviour = noAnswer
		}
		sim.takeCallCounts()
		sim.run(60*time.Second, normalLoad(40))
		total, perNode := sim.takeCallCounts()
		wasted := perNode[unreachable[0].Node] + perNode[unreachable[1].Node] + perNode[unreachable[2].Node]
		if got := len(sim.callers[0].Snapshot(sim.now)); got != len(sim.servers) {
			t.Errorf("%d of %d members kept", got, len(sim.servers))
		}
		if !onlyRegion && wasted*20 > total {
			t.Errorf("%d of %d calls went to the region that was cut off", wasted, total)
		}
		for _, s := range unreachable {
			s.behaviour = serves
		}
		sim.run(25*time.Second, normalLoad(40))
		sim.takeCallCounts()
		sim.run(5*time.Second, normalLoad(40))
		_, perNode = sim.takeCallCounts()
		t.Logf("only region %v: %d of %d calls to the region that was cut off, after recovery %v", onlyRegion, wasted, total, perNode)
		for _, s := range unreachable {
			if perNode[s.Node] < 10 {
				t.Errorf("only region %v: %s got %d calls after the cut ended", onlyRegion, s.Node, perNode[s.Node])
			}
		}
	}
}

func TestMembersThatAllFailAlikeStayInUse(t *testing.T) {
	sim := newSimulator(2, DefaultConfig())
	for _, s := range sim.add(4, "a") {
		s.behaviour = failsImmediately
	}
	sim.run(5*time.Second, normalLoad(50))
	if sim.rules["no_member"] > 0 || sim.rules[RuleLastResort] > sim.rules[RuleLeastLoaded]/5 {
		t.Errorf("rules %v", sim.rules)
	}
	for _, s := range sim.servers {
		s.behaviour = noAnswer
	}
	sim.run(5*time.Second, normalLoad(500))
	for _, s := range sim.callers[0].Snapshot(sim.now) {
		if s.InFlight > sim.callers[0].cfg.LastResortInFlight {
			t.Errorf("%d calls in flight to %s, which is silent", s.InFlight, s.Node)
		}
	}
	sim.servers[1].behaviour = serves
	sim.run(5*time.Second, normalLoad(50))
	sim.takeCallCounts()
	sim.run(2*time.Second, normalLoad(50))
	total, perNode := sim.takeCallCounts()
	t.Logf("the working member got %d of %d calls", perNode[sim.servers[1].Node], total)
	if perNode[sim.servers[1].Node]*10 < total*9 {
		t.Errorf("calls %v, want nearly all at the working member", perNode)
	}
}

// TestSharedFailureKeepsCallsInTheRegion lets the members of all regions fail half
// of their calls, as if a shared dependency failed. Calls must stay in the region then,
// and move to the other region once only the caller's own region fails.
func TestSharedFailureKeepsCallsInTheRegion(t *testing.T) {
	cfg := DefaultConfig()
	cfg.RemotePerSecond, cfg.RemoteBurst = 2000, 2000 // effectively unbounded, as for links billed by volume
	sim := newSimulator(2, cfg)
	sim.add(2, "a")
	for _, s := range append(sim.servers, sim.add(4, "b")...) {
		s.behaviour = failsHalf
	}
	sim.run(10*time.Second, normalLoad(100))
	sim.takeCallCounts()
	sim.run(10*time.Second, normalLoad(100))
	total, perNode := sim.takeCallCounts()
	remote := 0
	for _, s := range sim.servers {
		if s.Region != "a" {
			remote += perNode[s.Node]
		}
	}
	t.Logf("%d of %d calls went to the other region", remote, total)
	if remote*5 > total {
		t.Errorf("more than a fifth of the calls went to the other region")
	}
	for _, s := range sim.servers {
		if s.Region != "a" {
			s.behaviour = serves
		}
	}
	sim.run(10*time.Second, normalLoad(100))
	sim.takeCallCounts()
	sim.run(5*time.Second, normalLoad(100))
	total, perNode = sim.takeCallCounts()
	remote = 0
	for _, s := range sim.servers {
		if s.Region != "a" {
			remote += perNode[s.Node]
		}
	}
	t.Logf("%d of %d calls went to the other region once only the caller's region failed", remote, total)
	if remote*5 < total*4 {
		t.Errorf("less than four fifths of the calls went to the other region")
	}
}

// TestSharedFailureAtLowCallRates lets the members of three regions fail nine of ten
// calls while the callers send few calls, so that little is known about each member.
func TestSharedFailureAtLowCallRates(t *testing.T) {
	for _, rate := range []float64{10, 30, 100} {
		for seed := range uint64(10) {
			cfg := DefaultConfig()
			cfg.RemotePerSecond, cfg.RemoteBurst = 2000, 2000 // effectively unbounded, as for links billed by volume
			sim := newSimulator(2, cfg)
			sim.rng = rand.New(rand.NewPCG(seed, 7))
			sim.add(2, "a")
			for _, s := range append(append(sim.servers, sim.add(2, "b")...), sim.add(2, "c")...) {
				s.behaviour = failsMost
			}
			sim.run(5*time.Second, normalLoad(rate))
			sim.takeCallCounts()
			sim.run(10*time.Second, normalLoad(rate))
			total, perNode := sim.takeCallCounts()
			remote := 0
			for _, s := range sim.servers {
				if s.Region != "a" {
					remote += perNode[s.Node]
				}
			}
			if remote*5 > total {
				t.Errorf("%v calls/s, seed %d: %d of %d calls went to other regions, more than a fifth", rate, seed, remote, total)
			}
		}
	}
}

// TestServersThatShedWithoutLoadGetAllCalls replays servers that all refuse 55 of 100
// calls at random with most of their slots free, whatever the calls of each node. The
// throttle must not refuse calls of which almost half would be served.
func TestServersThatShedWithoutLoadGetAllCalls(t *testing.T) {
	for _, perSecond := range []float64{30, 100, 300} {
		sim := newSimulator(8, DefaultConfig())
		for _, s := range sim.add(6, "a") {
			s.behaviour = shedsMost
			s.limit = 11
			s.service = 30 * time.Millisecond
		}
		offered := 0
		sim.onResult = func(call.Priority, call.Result) { offered++ }
		sim.run(10*time.Second, normalLoad(perSecond))
		sent, _ := sim.takeCallCounts()
		t.Logf("%v calls a second and node: %d of %d sent", perSecond, sent, offered)
		if sent*100 < offered*95 {
			t.Errorf("%v calls a second and node: %d of %d were sent to servers with free slots", perSecond, sent, offered)
		}
	}
}
