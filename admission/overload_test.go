package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	meanServiceTime  = 50 * time.Millisecond
	disturbanceStart = 10 * time.Second
	disturbanceEnd   = 15 * time.Second
	modelEnd         = 25 * time.Second
)

// Critical calls are a tenth of the load, so they alone fit the capacity up to a
// load of 10.
var modelClasses = []modelClass{
	{"buy", call.PriorityCritical, 0.1, time.Second, meanServiceTime},
	{"lookup", call.PriorityHigh, 0.2, time.Second, meanServiceTime},
	{"list", call.PriorityNormal, 0.3, time.Second, meanServiceTime},
	{"browse", call.PriorityLow, 0.4, time.Second, meanServiceTime},
}

type backendSize struct{ slots, conns int }

// backendSizes lists the backend servers that users run.
var backendSizes = []backendSize{{8, 150}, {25, 250}, {35, 300}, {140, 950}}

// modelRuns returns the sizes and the number of seeds to run. Runs with the race
// detector use -short, because it has nothing to find in a single-threaded
// simulation.
func modelRuns() ([]backendSize, uint64) {
	if testing.Short() {
		return backendSizes[:3], 1
	}
	return backendSizes, 2
}

func (s backendSize) capacity() float64 { return float64(s.slots) / meanServiceTime.Seconds() }

// newModel returns a model with a constant load, given as a multiple of the
// capacity.
func newModel(s backendSize, load float64) *model {
	return &model{
		slots:   s.slots,
		conns:   s.conns,
		classes: modelClasses,
		warmUp:  3 * time.Second,
		rate:    func(time.Duration) float64 { return load * s.capacity() },
	}
}

func duringDisturbance(at time.Duration) bool { return at >= disturbanceStart && at < disturbanceEnd }

// surge multiplies the load during the disturbance.
func (m *model) surge(factor float64) {
	rate := m.rate
	m.rate = func(at time.Duration) float64 {
		if duringDisturbance(at) {
			return factor * rate(at)
		}
		return rate(at)
	}
}

// slowdown multiplies the service time of a class, or of all classes if class is
// empty, during the disturbance.
func (m *model) slowdown(class string, factor float64) {
	m.slowFactor = func(c string, at time.Duration) float64 {
		if duringDisturbance(at) && (class == "" || class == c) {
			return factor
		}
		return 1
	}
}

// answeredFraction returns the fraction of the calls of a class that were answered
// in time.
func (m *model) answeredFraction(class string) float64 {
	return float64(m.answeredInTime[class]) / float64(m.offered[class])
}

// recovery returns the time from the end of the disturbance until the goodput over
// one second is 0.9 of the goodput before.
func (m *model) recovery() time.Duration {
	before := m.goodput(disturbanceStart-5*time.Second, disturbanceStart)
	for at := disturbanceEnd; at < modelEnd-time.Second; at += goodputInterval {
		if m.goodput(at, at+time.Second) >= 0.9*before {
			return at - disturbanceEnd
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
					t.Logf("goodput %.3f critical %.4f", good, m.answeredFraction("buy"))
					if good < 0.9 {
						t.Errorf("goodput is %.3f of what load and capacity allow", good)
					}
					if m.answeredFraction("buy") < 0.99 {
						t.Errorf("a fraction of %.4f of the critical calls was answered", m.answeredFraction("buy"))
					}
				})
			}
		}
	}
}

func TestRecoveryAfterTheCauseEnds(t *testing.T) {
	disturbances := map[string]func(m *model){
		"surge":                  func(m *model) { m.surge(10) },
		"surge, retries":         func(m *model) { m.surge(10); m.aggressiveRetries = true },
		"surge, cancels ignored": func(m *model) { m.surge(5); m.aggressiveRetries = true; m.ignoresCancel = true },
		"slow, retries":          func(m *model) { m.slowdown("", 5); m.aggressiveRetries = true },
		"slow, cancels ignored":  func(m *model) { m.slowdown("", 5); m.aggressiveRetries = true; m.ignoresCancel = true },
		"sub-call is slow":       func(m *model) { m.slowdown("lookup", 5) },
		"sub-call hangs":         func(m *model) { m.slowdown("browse", 20) },
		"thrashing, surge":       func(m *model) { m.surge(5); m.aggressiveRetries = true; m.thrash = 1 / float64(m.slots) },
		"everything hangs":       func(m *model) { m.slowdown("", 40) },
	}
	sizes, seeds := modelRuns()
	for name, disturb := range disturbances {
		for _, size := range sizes {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%s/slots=%d/seed=%d", name, size.slots, seed), func(t *testing.T) {
					m := newModel(size, 0.8)
					disturb(m)
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

// Simulates an overload that needs the mechanism. The measured value must be high with
// the mechanism on and low with it off.
func TestEachMechanismIsNeeded(t *testing.T) {
	size := backendSizes[0]
	answered := func(class string) func(*model) float64 {
		return func(m *model) float64 { return m.answeredFraction(class) }
	}
	goodput := func(m *model) float64 {
		return m.goodput(5*time.Second, 14*time.Second) / size.capacity()
	}
	for name, tc := range map[string]struct {
		off           Mechanisms
		prepare       func(cfg *Config, m *model)
		measure       func(*model) float64
		minOn, maxOff float64 // at least with, at most without the mechanism
	}{
		"limit": {
			off:     Mechanisms{Limit: true},
			measure: answered("buy"),
			minOn:   0.99, maxOff: 0.5,
		},
		"order": {
			off:     Mechanisms{Order: true},
			measure: answered("buy"),
			minOn:   0.99, maxOff: 0.9,
		},
		"deadline drop": {
			off:     Mechanisms{DeadlineDrop: true},
			measure: goodput,
			minOn:   0.9, maxOff: 0.8,
		},
		"displacement": {
			off:     Mechanisms{Displacement: true},
			prepare: func(cfg *Config, m *model) { cfg.QueueLimit = 16 },
			measure: answered("buy"),
			minOn:   0.99, maxOff: 0.9,
		},
		"share": {
			off:     Mechanisms{Share: true},
			measure: answered("browse"),
			minOn:   0.001, maxOff: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			measure := func(off Mechanisms) float64 {
				cfg := DefaultConfig()
				cfg.Disabled = off
				m := newModel(size, 6)
				m.ignoresCancel = true
				if tc.prepare != nil {
					tc.prepare(&cfg, m)
				}
				return tc.measure(m.run(cfg, 1, 14*time.Second))
			}
			on, off := measure(Mechanisms{}), measure(tc.off)
			t.Logf("%.4f with, %.4f without", on, off)
			if on < tc.minOn {
				t.Errorf("%.4f with the mechanism, want at least %v", on, tc.minOn)
			}
			if off > tc.maxOff {
				t.Errorf("%.4f without the mechanism, want at most %v", off, tc.maxOff)
			}
		})
	}
}
