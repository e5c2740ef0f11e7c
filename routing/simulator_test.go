package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestMain sets the default seed and number of checks of the property tests; flags
// override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	m.Run()
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// behaviour is how a server responds to calls.
type behaviour int

const (
	serves behaviour = iota
	failsImmediately
	failsHalf // of the calls, after the normal service time
	failsMost // nine of ten calls, after the normal service time
	noAnswer
	shedsMost // refuses 55 of 100 calls at once, whatever its load
)

// server simulates a member. Calls beyond its limit slow it down, and it refuses the
// less important priorities first.
type server struct {
	Member
	behaviour behaviour
	limit     int
	service   time.Duration
	inFlight  int
	calls     int // received since the last takeCallCounts
	refusals  int
}

// admitLoad is the load, as a multiple of the limit, below which each priority is
// admitted.
var admitLoad = [call.NumPriorities]float64{2, 1.75, 1.5, 1.25}

// pressure returns the load that the server reports with an answer.
func (s *server) pressure() call.Pressure {
	p := call.Pressure{Limit: s.limit, InFlight: min(s.inFlight, s.limit), ServiceTime: s.service}
	p.Queued = s.inFlight - p.InFlight
	p.QueueDelay = s.service * time.Duration(p.Queued) / time.Duration(s.limit)
	for i, maxLoad := range admitLoad {
		if float64(s.inFlight) < maxLoad*float64(s.limit) {
			p.AdmitPriority = call.Priority(i)
		}
	}
	return p
}

// simulator runs callers and servers in simulated time, in steps of 1 ms.
type simulator struct {
	now      time.Time
	events   map[time.Time][]func()
	servers  []*server
	callers  []*Router
	rng      *rand.Rand
	rules    map[string]int
	onResult func(p call.Priority, res call.Result) // called with the result of each call
}

// newSimulator returns a simulator with n callers in region a, failure domain a1, and no
// servers.
func newSimulator(n int, cfg Config) *simulator {
	sim := &simulator{now: startTime, events: map[time.Time][]func(){}, rng: rand.New(rand.NewPCG(7, 7)),
		rules: map[string]int{}, onResult: func(call.Priority, call.Result) {}}
	cfg.Region, cfg.Domain = "a", "a1"
	for i := range n {
		sim.callers = append(sim.callers, New(cfg, rand.New(rand.NewPCG(uint64(i), 1))))
	}
	return sim
}

// add adds n warm servers to the region and returns them.
func (sim *simulator) add(n int, region string) []*server {
	for range n {
		id := fmt.Sprintf("%s%d", region, len(sim.servers))
		m := Member{Node: id, Region: region, Domain: region + "2", Started: sim.now.Add(-time.Hour)}
		sim.servers = append(sim.servers, &server{Member: m, limit: 10, service: 10 * time.Millisecond})
	}
	sim.publish()
	return sim.servers[len(sim.servers)-n:]
}

// publish passes the membership to all callers.
func (sim *simulator) publish() {
	members := make([]Member, len(sim.servers))
	for i, s := range sim.servers {
		members[i] = s.Member
	}
	for _, r := range sim.callers {
		r.Update(members, sim.now)
	}
}

// schedule runs f after d.
func (sim *simulator) schedule(d time.Duration, f func()) {
	at := sim.now.Add(d.Round(time.Millisecond))
	sim.events[at] = append(sim.events[at], f)
}

// run advances the simulation by d. Each caller starts perSecond calls of each priority
// on average.
func (sim *simulator) run(d time.Duration, perSecond [call.NumPriorities]float64) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(time.Millisecond) {
		for _, f := range sim.events[sim.now] {
			f()
		}
		delete(sim.events, sim.now)
		for _, r := range sim.callers {
			for p, rate := range perSecond {
				if sim.rng.Float64() < rate/1000 {
					sim.call(r, call.Priority(p))
				}
			}
		}
	}
}

// call makes one attempt with a deadline in 300 ms.
func (sim *simulator) call(r *Router, p call.Priority) {
	c, refusal := r.Pick(Query{Priority: p, Deadline: sim.now.Add(300 * time.Millisecond)}, sim.now)
	if refusal != (Refusal{}) {
		sim.rules[string(refusal.Reason)]++
		sim.onResult(p, call.Result{Outcome: call.Refused, Reason: refusal.Reason})
		return
	}
	sim.rules[c.Rule]++
	r.Start(c.Member.Node, sim.now)
	sent := sim.now
	sim.serve(c.Member.Node, p, func(res call.Result) {
		res.Latency = sim.now.Sub(sent)
		r.Finish(c.Member.Node, res, sim.now)
		r.Record(p, res, sim.now)
		sim.onResult(p, res)
	})
}

// serve runs the call at the server and passes its result to done after the service
// time and the round trip.
func (sim *simulator) serve(node string, p call.Priority, done func(call.Result)) {
	s := sim.server(node)
	roundTrip := time.Millisecond
	if s.Region != "a" {
		roundTrip = 40 * time.Millisecond
	}
	s.calls++
	switch {
	case s.behaviour == failsImmediately:
		sim.schedule(roundTrip, func() { done(call.Result{Outcome: call.Answered, Status: 500}) })
	case s.behaviour == noAnswer:
		sim.schedule(250*time.Millisecond, func() { done(call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost}) })
	case s.behaviour == shedsMost && sim.rng.IntN(100) < 55:
		sim.schedule(roundTrip, func() { done(call.Result{Outcome: call.Refused, Reason: call.ReasonShed, Pressure: s.pressure()}) })
	case float64(s.inFlight) >= admitLoad[p]*float64(s.limit):
		s.refusals++
		pressure := s.pressure()
		sim.schedule(roundTrip, func() { done(call.Result{Outcome: call.Refused, Reason: call.ReasonQueueFull, Pressure: pressure}) })
	default:
		s.inFlight++
		elapsed := time.Duration(float64(s.service) * max(1, float64(s.inFlight)/float64(s.limit)))
		sim.schedule(roundTrip+elapsed, func() {
			s.inFlight--
			status := 200
			if s.behaviour == failsHalf && sim.rng.IntN(2) == 0 || s.behaviour == failsMost && sim.rng.IntN(10) > 0 {
				status = 500
			}
			done(call.Result{Outcome: call.Answered, Status: status, Pressure: s.pressure()})
		})
	}
}

func (sim *simulator) server(node string) *server {
	for _, s := range sim.servers {
		if s.Node == node {
			return s
		}
	}
	panic("unknown node " + node)
}

// takeCallCounts returns the numbers of calls that the servers received and resets them.
func (sim *simulator) takeCallCounts() (total int, perNode map[string]int) {
	perNode = map[string]int{}
	for _, s := range sim.servers {
		perNode[s.Node] = s.calls
		total += s.calls
		s.calls, s.refusals = 0, 0
	}
	return total, perNode
}

// normalLoad returns a load of calls of normal priority only.
func normalLoad(perSecond float64) [call.NumPriorities]float64 {
	return [call.NumPriorities]float64{call.PriorityNormal: perSecond}
}
