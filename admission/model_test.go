package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	modelTick       = 10 * time.Millisecond
	goodputInterval = 100 * time.Millisecond // resolution of the goodput series
)

// event is an action at a simulated time.
type event struct {
	at     time.Duration
	seq    int
	action func()
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
	fraction float64 // of all offers
	timeout  time.Duration
	service  time.Duration // mean, exponentially distributed
}

// model is a discrete-event simulation of a backend server behind a Controller.
// The backend server has slots, a first-in first-out queue and a bound on
// connections.
type model struct {
	slots, conns        int
	classes             []modelClass
	rate                func(at time.Duration) float64               // of offers, per second
	slowFactor          func(class string, at time.Duration) float64 // factor on the service time
	thrash              float64                                      // relative increase of the service time per call in backendQueue
	ignoresCancel       bool                                         // keep executing calls whose caller timed out
	constantServiceTime bool                                         // all calls take the mean service time
	aggressiveRetries   bool                                         // callers retry 50 ms after any failure
	onTick              func()                                       // called at each tick

	ctl                 *Controller
	rng                 *rand.Rand
	now                 time.Duration
	events              eventHeap
	seq                 int
	busySlots           int
	backendQueue        []*modelCall
	warmUp              time.Duration // calls offered earlier are not counted per class
	runTime             time.Duration // simulated time; calls with a later deadline are not counted per class
	offered             map[string]int
	answeredInTime      map[string]int
	answeredPerInterval []int // answers in time, all classes
}

type modelCall struct {
	class     modelClass
	retries   int
	ticket    *Ticket
	deadline  time.Duration
	started   time.Duration
	counted   bool
	ended     bool // answered, refused or timed out
	inSlot    bool
	abandoned bool // timed out: its answer is useless
}

var modelEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *model) clock() time.Time { return modelEpoch.Add(m.now) }

func (m *model) after(d time.Duration, action func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, action})
}

// run simulates the given time.
func (m *model) run(cfg Config, seed uint64, length time.Duration) *model {
	m.runTime = length
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.ctl = New(cfg, rand.New(rand.NewPCG(seed, 2)), modelEpoch)
	m.offered = make(map[string]int)
	m.answeredInTime = make(map[string]int)
	m.answeredPerInterval = make([]int, length/goodputInterval)
	m.after(0, m.tick)
	m.after(0, m.arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at >= length {
			break
		}
		m.now = e.at
		e.action()
	}
	return m
}

func (m *model) tick() {
	m.apply(m.ctl.Tick(m.clock()))
	if m.onTick != nil {
		m.onTick()
	}
	m.after(modelTick, m.tick)
}

func (m *model) arrive() {
	x := m.rng.Float64()
	for _, c := range m.classes {
		if x -= c.fraction; x < 0 {
			m.offer(c, 0)
			break
		}
	}
	m.after(time.Duration(m.rng.ExpFloat64()/m.rate(m.now)*float64(time.Second)), m.arrive)
}

func (m *model) offer(c modelClass, retries int) {
	k := &modelCall{class: c, retries: retries, deadline: m.now + c.timeout}
	k.counted = m.now >= m.warmUp && k.deadline < m.runTime
	if k.counted {
		m.offered[c.name]++
	}
	k.ticket = &Ticket{Class: c.name, Priority: c.priority, Deadline: modelEpoch.Add(k.deadline), Data: k}
	m.after(c.timeout, func() { m.timeOut(k) })
	v, actions := m.ctl.Offer(k.ticket, m.clock())
	switch v.Kind {
	case Run:
		m.start(k)
	case Refused:
		m.fail(k)
	}
	m.apply(actions)
}

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		k := a.Ticket.Data.(*modelCall)
		if a.Start {
			m.start(k)
		} else {
			m.fail(k)
		}
	}
}

// fail ends a call without an answer; the caller may retry.
func (m *model) fail(k *modelCall) {
	k.ended = true
	if m.aggressiveRetries && k.retries < 3 {
		m.after(50*time.Millisecond, func() { m.offer(k.class, k.retries+1) })
	}
}

// timeOut handles the caller's timeout.
func (m *model) timeOut(k *modelCall) {
	if k.ended {
		return
	}
	m.fail(k)
	if k.ticket.state == stateQueued {
		m.apply(m.ctl.Cancel(k.ticket, m.clock()))
		return
	}
	k.abandoned = true
	if m.ignoresCancel {
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
	m.busySlots--
}

func (m *model) start(k *modelCall) {
	k.started = m.now
	if m.busySlots+len(m.backendQueue) >= m.conns {
		m.after(time.Millisecond, func() { m.shed(k) })
		return
	}
	m.backendQueue = append(m.backendQueue, k)
	m.serve()
}

func (m *model) shed(k *modelCall) {
	if !k.ended {
		m.fail(k)
	}
	if k.ticket.state == stateRunning {
		m.done(k, Sample{Shed: true})
	}
}

// serve assigns free slots to the calls in the queue of the backend server.
func (m *model) serve() {
	for m.busySlots < m.slots && len(m.backendQueue) > 0 {
		k := m.backendQueue[0]
		m.backendQueue = m.backendQueue[1:]
		if k.abandoned && !m.ignoresCancel {
			continue
		}
		m.busySlots++
		k.inSlot = true
		m.after(m.serviceTime(k), func() { m.finish(k) })
	}
}

func (m *model) serviceTime(k *modelCall) time.Duration {
	f := 1.0
	if !m.constantServiceTime {
		f = m.rng.ExpFloat64()
	}
	f *= (1 + m.thrash*float64(len(m.backendQueue)))
	if m.slowFactor != nil {
		f *= m.slowFactor(k.class.name, m.now)
	}
	return time.Duration(f * float64(k.class.service))
}

func (m *model) finish(k *modelCall) {
	if !k.inSlot {
		return // canceled
	}
	m.leaveSlot(k)
	defer m.serve()
	if k.abandoned {
		m.done(k, Sample{Canceled: true})
		return
	}
	k.ended = true
	if k.counted {
		m.answeredInTime[k.class.name]++
	}
	m.answeredPerInterval[m.now/goodputInterval]++
	m.done(k, Sample{})
}

func (m *model) done(k *modelCall, s Sample) {
	s.Latency = m.now - k.started
	m.apply(m.ctl.Done(k.ticket, s, m.clock()))
}

// goodput returns the answers in time per second from one time to another.
func (m *model) goodput(from, to time.Duration) float64 {
	n := 0
	for _, v := range m.answeredPerInterval[from/goodputInterval : to/goodputInterval] {
		n += v
	}
	return float64(n) / (to - from).Seconds()
}
