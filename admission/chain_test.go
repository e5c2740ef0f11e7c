package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

var epoch = time.Unix(1000, 0)

// chainEvents is a heap of functions by time.
type chainEvents []chainEvent

type chainEvent struct {
	at  time.Time
	run func()
}

func (e chainEvents) Len() int           { return len(e) }
func (e chainEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e chainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *chainEvents) Push(x any)        { *e = append(*e, x.(chainEvent)) }
func (e *chainEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chainModel sends chains of calls to one controller with a fixed limit.
type chainModel struct {
	now        time.Time
	events     chainEvents
	controller *Controller
	rng        *rand.Rand
	completed  int
}

const (
	chainSlots   = 11
	chainService = 30 * time.Millisecond
	chainBudget  = 700 * time.Millisecond // deadline of each chain
)

func (m *chainModel) after(d time.Duration, f func()) {
	heap.Push(&m.events, chainEvent{m.now.Add(d), f})
}

// call offers the next call of a chain, of which the given number are left.
func (m *chainModel) call(left int, cohort uint32, deadline time.Time) {
	if left == 0 {
		if m.now.Before(deadline) {
			m.completed++
		}
		return
	}
	t := &Ticket{Class: "c", Priority: call.PriorityNormal, Deadline: deadline, Cohort: cohort}
	t.Data = func() {
		m.after(time.Duration(float64(chainService)*(0.5+m.rng.Float64())), func() {
			m.start(m.controller.Done(t, Sample{Latency: chainService}, m.now))
			m.call(left-1, cohort, deadline)
		})
	}
	verdict, actions := m.controller.Offer(t, m.now)
	m.start(actions)
	if verdict.Kind == Run {
		t.Data.(func())()
	}
}

func (m *chainModel) start(actions []Action) {
	for _, a := range actions {
		if a.Start {
			a.Ticket.Data.(func())()
		}
	}
}

// completedChains runs chains of four calls at a multiple of the capacity and returns the
// completed ones as a fraction of those that the capacity allows.
func completedChains(load float64, seed uint64, cohorts bool) float64 {
	const (
		calls    = 4
		duration = 20 * time.Second
		tick     = 10 * time.Millisecond
	)
	cfg := DefaultConfig()
	cfg.SetFixedLimit(chainSlots + 1)
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &chainModel{now: epoch, rng: rng, controller: New(cfg, rng, epoch)}
	perSecond := float64(cfg.MaxLimit) / chainService.Seconds() / calls
	var arrive, ticks func()
	arrive = func() {
		cohort := uint32(0)
		if cohorts {
			cohort = rng.Uint32()
		}
		m.call(calls, cohort, m.now.Add(chainBudget))
		m.after(time.Duration(rng.ExpFloat64()/(load*perSecond)*float64(time.Second)), arrive)
	}
	ticks = func() {
		m.start(m.controller.Tick(m.now))
		m.after(tick, ticks)
	}
	m.after(0, arrive)
	m.after(0, ticks)
	for end := epoch.Add(duration); m.now.Before(end); {
		e := heap.Pop(&m.events).(chainEvent)
		m.now = e.at
		e.run()
	}
	return float64(m.completed) / (perSecond * duration.Seconds())
}

// TestOverloadServesWholeChains replays chains of four calls, each of which must succeed,
// at up to four times the capacity of the server that they call. Most of the capacity
// must go to chains that complete. Ordered by deadline alone, most of it went to chains
// of which a later call was refused.
func TestOverloadServesWholeChains(t *testing.T) {
	for _, load := range []float64{0.8, 1.5, 2, 4} {
		for seed := range uint64(3) {
			with, without := completedChains(load, seed, true), completedChains(load, seed, false)
			t.Logf("load %v, seed %d: %.2f of the possible chains complete, %.2f without cohorts", load, seed, with, without)
			if want := 0.7 * min(load, 1); with < want {
				t.Errorf("load %v, seed %d: %.2f of the possible chains complete, want %.2f", load, seed, with, want)
			}
		}
	}
}
