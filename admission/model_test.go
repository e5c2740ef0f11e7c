package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	modelTick = 10 * time.Millisecond
	modelSlot = 100 * time.Millisecond // resolution of the goodput series
)

// event is something that happens at a moment of the model's time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// modelClass is one class of the offered load.
type modelClass struct {
	name     string
	priority call.Priority
	part     float64 // of all offers
	timeout  time.Duration
	service  time.Duration // mean, exponentially distributed
}

// model is a backend server with slots, a first-in first-out queue inside and a
// bound on connections, behind a Controller.
type model struct {
	slots, conns int
	classes      []modelClass
	rate         func(at time.Duration) float64               // offers per second
	slow         func(class string, at time.Duration) float64 // factor on the service time
	thrash       float64                                      // slowdown per call beyond the slots
	keepsWork    bool                                         // goes on with calls whose caller gave up
	fixed        bool                                         // all calls take the mean service time
	retryHard    bool                                         // callers come back 50 ms after any failure
	each         func()                                       // called at each tick

	ctl     *Controller
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	busy    int
	inside  []*modelCall
	warm    time.Duration // calls offered earlier are not counted by class
	length  time.Duration // calls whose deadline is later neither
	offered map[string]int
	good    map[string]int
	perSlot []int // good answers in time, all classes
}

type modelCall struct {
	class    modelClass
	tries    int
	ticket   *Ticket
	deadline time.Duration
	started  time.Duration
	counts   bool
	over     bool // answered, refused or given up
	inSlot   bool
	gone     bool // given up: its slot is used for nothing
}

var modelEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) clock() time.Time { return modelEpoch.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, do})
}

// run plays the model for the given time.
func (m *model) run(cfg Config, seed uint64, length time.Duration) *model {
	m.length = length
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.ctl = New(cfg, rand.New(rand.NewPCG(seed, 2)), modelEpoch)
	m.offered = make(map[string]int)
	m.good = make(map[string]int)
	m.perSlot = make([]int, length/modelSlot)
	m.after(0, m.tick)
	m.after(0, m.arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at >= length {
			break
		}
		m.now = e.at
		e.do()
	}
	return m
}

func (m *model) tick() {
	m.act(m.ctl.Tick(m.clock()))
	if m.each != nil {
		m.each()
	}
	m.after(modelTick, m.tick)
}

func (m *model) arrive() {
	x := m.rng.Float64()
	for _, c := range m.classes {
		if x -= c.part; x < 0 {
			m.offer(c, 0)
			break
		}
	}
	m.after(time.Duration(m.rng.ExpFloat64()/m.rate(m.now)*float64(time.Second)), m.arrive)
}

func (m *model) offer(c modelClass, tries int) {
	k := &modelCall{class: c, tries: tries, deadline: m.now + c.timeout}
	k.counts = m.now >= m.warm && k.deadline < m.length
	if k.counts {
		m.offered[c.name]++
	}
	k.ticket = &Ticket{Class: c.name, Priority: c.priority, Deadline: modelEpoch.Add(k.deadline), Data: k}
	m.after(c.timeout, func() { m.giveUp(k) })
	v, actions := m.ctl.Offer(k.ticket, m.clock())
	switch v.Kind {
	case Run:
		m.start(k)
	case Refused:
		m.fail(k)
	}
	m.act(actions)
}

func (m *model) act(actions []Action) {
	for _, a := range actions {
		k := a.Ticket.Data.(*modelCall)
		if a.Start {
			m.start(k)
		} else {
			m.fail(k)
		}
	}
}

// fail ends a call without an answer; the caller may come back.
func (m *model) fail(k *modelCall) {
	k.over = true
	if m.retryHard && k.tries < 3 {
		m.after(50*time.Millisecond, func() { m.offer(k.class, k.tries+1) })
	}
}

// giveUp is the caller's timeout.
func (m *model) giveUp(k *modelCall) {
	if k.over {
		return
	}
	m.fail(k)
	if k.ticket.state == stateQueued {
		m.act(m.ctl.Cancel(k.ticket, m.clock()))
		return
	}
	k.gone = true
	if m.keepsWork {
		return
	}
	if k.inSlot {
		m.leaveSlot(k)
		m.serve()
	}
	m.done(k, Sample{Canceled: true})
}

func (m *model) leaveSlot(k *modelCall) {
	k.inSlot = false
	m.busy--
}

func (m *model) start(k *modelCall) {
	k.started = m.now
	if m.busy+len(m.inside) >= m.conns {
		m.after(time.Millisecond, func() { m.shed(k) })
		return
	}
	m.inside = append(m.inside, k)
	m.serve()
}

func (m *model) shed(k *modelCall) {
	if !k.over {
		m.fail(k)
	}
	if k.ticket.state == stateRunning {
		m.done(k, Sample{Shed: true})
	}
}

// serve gives free slots to the calls inside.
func (m *model) serve() {
	for m.busy < m.slots && len(m.inside) > 0 {
		k := m.inside[0]
		m.inside = m.inside[1:]
		if k.gone && !m.keepsWork {
			continue
		}
		m.busy++
		k.inSlot = true
		m.after(m.serviceTime(k), func() { m.finish(k) })
	}
}

func (m *model) serviceTime(k *modelCall) time.Duration {
	f := 1.0
	if !m.fixed {
		f = m.rng.ExpFloat64()
	}
	f *= (1 + m.thrash*float64(len(m.inside)))
	if m.slow != nil {
		f *= m.slow(k.class.name, m.now)
	}
	return time.Duration(f * float64(k.class.service))
}

func (m *model) finish(k *modelCall) {
	if !k.inSlot {
		return // canceled
	}
	m.leaveSlot(k)
	defer m.serve()
	if k.gone {
		m.done(k, Sample{Canceled: true})
		return
	}
	k.over = true
	if k.counts {
		m.good[k.class.name]++
	}
	m.perSlot[m.now/modelSlot]++
	m.done(k, Sample{})
}

func (m *model) done(k *modelCall, s Sample) {
	s.Latency = m.now - k.started
	m.act(m.ctl.Done(k.ticket, s, m.clock()))
}

// goodput returns whole answers in time per second between two moments.
func (m *model) goodput(from, to time.Duration) float64 {
	n := 0
	for _, v := range m.perSlot[from/modelSlot : to/modelSlot] {
		n += v
	}
	return float64(n) / (to - from).Seconds()
}
