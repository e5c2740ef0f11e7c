package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	modelService = 50 * time.Millisecond
	causeStart   = 10 * time.Second
	causeEnd     = 15 * time.Second
	modelEnd     = 25 * time.Second
)

// Critical calls are a tenth of the load: they alone fit up to 10 times the
// capacity.
var modelClasses = []modelClass{
	{"buy", call.PriorityCritical, 0.1, time.Second, modelService},
	{"lookup", call.PriorityHigh, 0.2, time.Second, modelService},
	{"list", call.PriorityNormal, 0.3, time.Second, modelService},
	{"browse", call.PriorityLow, 0.4, time.Second, modelService},
}

type backendSize struct{ slots, conns int }

// The backend servers of the users.
var backendSizes = []backendSize{{8, 150}, {25, 250}, {35, 300}, {140, 950}}

// modelRuns returns the sizes and the number of seeds to run. The race detector,
// which has nothing to find in these single-threaded runs, is used with -short.
func modelRuns() ([]backendSize, uint64) {
	if testing.Short() {
		return backendSizes[:3], 1
	}
	return backendSizes, 2
}

func (s backendSize) capacity() float64 { return float64(s.slots) / modelService.Seconds() }

// newModel returns a model with a steady load, relative to the capacity.
func newModel(s backendSize, load float64) *model {
	return &model{
		slots:   s.slots,
		conns:   s.conns,
		classes: modelClasses,
		warm:    3 * time.Second,
		rate:    func(time.Duration) float64 { return load * s.capacity() },
	}
}

func duringCause(at time.Duration) bool { return at >= causeStart && at < causeEnd }

// surge multiplies the load while the cause lasts.
func (m *model) surge(factor float64) {
	rate := m.rate
	m.rate = func(at time.Duration) float64 {
		if duringCause(at) {
			return factor * rate(at)
		}
		return rate(at)
	}
}

// slowdown multiplies the service time of a class, or of all, while the cause
// lasts.
func (m *model) slowdown(class string, factor float64) {
	m.slow = func(c string, at time.Duration) float64 {
		if duringCause(at) && (class == "" || class == c) {
			return factor
		}
		return 1
	}
}

// answered returns the part of the calls of a class that were answered in time.
func (m *model) answered(class string) float64 {
	return float64(m.good[class]) / float64(m.offered[class])
}

// recovery returns the time from the end of the cause until the goodput of a
// second is 0.9 of what it was before.
func (m *model) recovery() time.Duration {
	before := m.goodput(causeStart-5*time.Second, causeStart)
	for at := causeEnd; at < modelEnd-time.Second; at += modelSlot {
		if m.goodput(at, at+time.Second) >= 0.9*before {
			return at - causeEnd
		}
	}
	return modelEnd
}

func TestGoodputAndCriticalCallsAtAnyLoad(t *testing.T) {
	sizes, seeds := modelRuns()
	for _, size := range sizes {
		for _, load := range []float64{0.5, 1, 2, 4, 8} {
			for seed := range seeds {
				name := fmt.Sprintf("slots=%d/load=%v/seed=%d", size.slots, load, seed)
				t.Run(name, func(t *testing.T) {
					m := newModel(size, load).run(DefaultConfig(), seed, 14*time.Second)
					good := m.goodput(5*time.Second, 14*time.Second) / (min(load, 1) * size.capacity())
					t.Logf("goodput %.3f critical %.4f", good, m.answered("buy"))
					if good < 0.9 {
						t.Errorf("goodput is %.3f of the bound", good)
					}
					if m.answered("buy") < 0.99 {
						t.Errorf("%.4f of the critical calls were answered", m.answered("buy"))
					}
				})
			}
		}
	}
}

func TestRecoveryAfterTheCauseEnds(t *testing.T) {
	causes := map[string]func(m *model){
		"surge":            func(m *model) { m.surge(10) },
		"surge, retries":   func(m *model) { m.surge(10); m.retryHard = true },
		"surge, wasted":    func(m *model) { m.surge(5); m.retryHard = true; m.keepsWork = true },
		"slow, retries":    func(m *model) { m.slowdown("", 5); m.retryHard = true },
		"slow, wasted":     func(m *model) { m.slowdown("", 5); m.retryHard = true; m.keepsWork = true },
		"sub-call is slow": func(m *model) { m.slowdown("lookup", 5) },
		"sub-call hangs":   func(m *model) { m.slowdown("browse", 20) },
		"thrashing, surge": func(m *model) { m.surge(5); m.retryHard = true; m.thrash = 1 / float64(m.slots) },
		"everything hangs": func(m *model) { m.slowdown("", 40) },
	}
	sizes, seeds := modelRuns()
	for name, cause := range causes {
		for _, size := range sizes {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%s/slots=%d/seed=%d", name, size.slots, seed), func(t *testing.T) {
					m := newModel(size, 0.8)
					cause(m)
					m.run(DefaultConfig(), seed, modelEnd)
					t.Logf("recovery %v", m.recovery())
					if m.recovery() > 2*time.Second {
						t.Errorf("recovered after %v", m.recovery())
					}
				})
			}
		}
	}
}

// Each mechanism is measured on and off at an overload that needs it.
func TestMechanismsOffFail(t *testing.T) {
	size := backendSizes[0]
	share := func(class string) func(*model) float64 {
		return func(m *model) float64 { return m.answered(class) }
	}
	goodput := func(m *model) float64 {
		return m.goodput(5*time.Second, 14*time.Second) / size.capacity()
	}
	for name, tc := range map[string]struct {
		off     Mechanisms
		prepare func(cfg *Config, m *model)
		measure func(*model) float64
		on, bad float64 // at least with, at most without the mechanism
	}{
		"limit": {
			off:     Mechanisms{Limit: true},
			measure: share("buy"),
			on:      0.99, bad: 0.5,
		},
		"order": {
			off:     Mechanisms{Order: true},
			measure: share("buy"),
			on:      0.99, bad: 0.9,
		},
		"deadline drop": {
			off:     Mechanisms{DeadlineDrop: true},
			measure: goodput,
			on:      0.9, bad: 0.8,
		},
		"displacement": {
			off:     Mechanisms{Displacement: true},
			prepare: func(cfg *Config, m *model) { cfg.QueueLimit = 16 },
			measure: share("buy"),
			on:      0.99, bad: 0.9,
		},
		"share": {
			off:     Mechanisms{Share: true},
			measure: share("browse"),
			on:      0.001, bad: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(off Mechanisms) float64 {
				cfg := DefaultConfig()
				cfg.Disabled = off
				m := newModel(size, 6)
				m.keepsWork = true
				if tc.prepare != nil {
					tc.prepare(&cfg, m)
				}
				return tc.measure(m.run(cfg, 1, 14*time.Second))
			}
			on, off := measure(Mechanisms{}), measure(tc.off)
			t.Logf("%.4f with, %.4f without", on, off)
			if on < tc.on {
				t.Errorf("%.4f with the mechanism, want at least %v", on, tc.on)
			}
			if off > tc.bad {
				t.Errorf("%.4f without the mechanism, want at most %v", off, tc.bad)
			}
		})
	}
}
