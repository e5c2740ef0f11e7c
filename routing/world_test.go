package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestMain fixes seed and size of the property tests; flags override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	m.Run()
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// behaviour is what a server does with a call.
type behaviour int

const (
	serves behaviour = iota
	failsAtOnce
	failsHalf // of the calls, after their time
	failsMost // nine of ten
	silent
)

// server is a member that slows down beyond its limit and refuses the less
// important calls first.
type server struct {
	Member
	behaviour behaviour
	limit     int
	service   time.Duration
	inFlight  int
	calls     int // that arrived
	refusals  int
}

// queueRoom is the load, in parts of the limit, up to which a priority is
// admitted.
var queueRoom = [call.NumPriorities]float64{2, 1.75, 1.5, 1.25}

// pressure returns what the server tells on an answer.
func (s *server) pressure() call.Pressure {
	p := call.Pressure{Limit: s.limit, InFlight: min(s.inFlight, s.limit), ServiceTime: s.service}
	p.Queued = s.inFlight - p.InFlight
	p.QueueDelay = s.service * time.Duration(p.Queued) / time.Duration(s.limit)
	for i, room := range queueRoom {
		if float64(s.inFlight) < room*float64(s.limit) {
			p.AdmitPriority = call.Priority(i)
		}
	}
	return p
}

// world runs callers and servers in steps of a millisecond.
type world struct {
	now     time.Time
	events  map[time.Time][]func()
	servers []*server
	callers []*Router
	rng     *rand.Rand
	rules   map[string]int
	done    func(p call.Priority, res call.Result) // each final result
}

// newWorld returns n callers in region a, domain a1, without servers.
func newWorld(n int, cfg Config) *world {
	w := &world{now: start, events: map[time.Time][]func(){}, rng: rand.New(rand.NewPCG(7, 7)),
		rules: map[string]int{}, done: func(call.Priority, call.Result) {}}
	cfg.Region, cfg.Domain = "a", "a1"
	for i := range n {
		w.callers = append(w.callers, New(cfg, rand.New(rand.NewPCG(uint64(i), 1))))
	}
	return w
}

// add adds n warm servers to a region and returns them.
func (w *world) add(n int, region string) []*server {
	for range n {
		id := fmt.Sprintf("%s%d", region, len(w.servers))
		m := Member{Node: id, Region: region, Domain: region + "2", Started: w.now.Add(-time.Hour)}
		w.servers = append(w.servers, &server{Member: m, limit: 10, service: 10 * time.Millisecond})
	}
	w.publish()
	return w.servers[len(w.servers)-n:]
}

// publish gives the membership to all callers.
func (w *world) publish() {
	members := make([]Member, len(w.servers))
	for i, s := range w.servers {
		members[i] = s.Member
	}
	for _, r := range w.callers {
		r.Update(members, w.now)
	}
}

// after runs f after d.
func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(d.Round(time.Millisecond))
	w.events[at] = append(w.events[at], f)
}

// run lets each caller start perSecond calls of each priority for d.
func (w *world) run(d time.Duration, perSecond [call.NumPriorities]float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		for _, f := range w.events[w.now] {
			f()
		}
		delete(w.events, w.now)
		for _, r := range w.callers {
			for p, rate := range perSecond {
				if w.rng.Float64() < rate/1000 {
					w.call(r, call.Priority(p))
				}
			}
		}
	}
}

// call makes one attempt with 300 ms to its deadline.
func (w *world) call(r *Router, p call.Priority) {
	c, refusal := r.Pick(Query{Priority: p, Deadline: w.now.Add(300 * time.Millisecond)}, w.now)
	if refusal != (Refusal{}) {
		w.rules[string(refusal.Reason)]++
		w.done(p, call.Result{Outcome: call.Refused, Reason: refusal.Reason})
		return
	}
	w.rules[c.Rule]++
	r.Start(c.Member.Node, w.now)
	sent := w.now
	w.serve(c.Member.Node, p, func(res call.Result) {
		res.Latency = w.now.Sub(sent)
		r.Finish(c.Member.Node, res, w.now)
		r.Record(p, res, w.now)
		w.done(p, res)
	})
}

// serve ends the call at the server after its time and the way.
func (w *world) serve(node string, p call.Priority, end func(call.Result)) {
	s := w.server(node)
	way := time.Millisecond
	if s.Region != "a" {
		way = 40 * time.Millisecond
	}
	s.calls++
	switch {
	case s.behaviour == failsAtOnce:
		w.after(way, func() { end(call.Result{Outcome: call.Answered, Status: 500}) })
	case s.behaviour == silent:
		w.after(250*time.Millisecond, func() { end(call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost}) })
	case float64(s.inFlight) >= queueRoom[p]*float64(s.limit):
		s.refusals++
		told := s.pressure()
		w.after(way, func() { end(call.Result{Outcome: call.Refused, Reason: call.ReasonQueueFull, Pressure: told}) })
	default:
		s.inFlight++
		busy := time.Duration(float64(s.service) * max(1, float64(s.inFlight)/float64(s.limit)))
		w.after(way+busy, func() {
			s.inFlight--
			status := 200
			if s.behaviour == failsHalf && w.rng.IntN(2) == 0 || s.behaviour == failsMost && w.rng.IntN(10) > 0 {
				status = 500
			}
			end(call.Result{Outcome: call.Answered, Status: status, Pressure: s.pressure()})
		})
	}
}

func (w *world) server(node string) *server {
	for _, s := range w.servers {
		if s.Node == node {
			return s
		}
	}
	panic("unknown node " + node)
}

// calls returns the calls that arrived at all servers and resets the counts.
func (w *world) calls() (total int, each map[string]int) {
	each = map[string]int{}
	for _, s := range w.servers {
		each[s.Node] = s.calls
		total += s.calls
		s.calls, s.refusals = 0, 0
	}
	return total, each
}

// normal returns a load of normal calls alone.
func normal(perSecond float64) [call.NumPriorities]float64 {
	return [call.NumPriorities]float64{call.PriorityNormal: perSecond}
}
