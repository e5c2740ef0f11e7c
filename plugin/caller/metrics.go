package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// Sample of the latency histograms: an exponentially decaying reservoir that
// leans to the last five minutes (Cormode et al., Forward Decay, 2009).
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// meters counts how requests ended.
type meters struct {
	reg       metrics.Registry
	retries   metrics.Counter
	forfeited metrics.Counter

	mu     sync.RWMutex
	ending map[endingKey]metrics.Counter
	times  map[classKey]metrics.Histogram
}

type classKey struct{ service, class string }

type endingKey struct {
	classKey
	outcome call.Outcome
	reason  call.Reason
}

func newMeters(reg metrics.Registry) *meters {
	return &meters{
		reg:       reg,
		retries:   metrics.GetOrRegisterCounter("retries.spent", reg),
		forfeited: metrics.GetOrRegisterCounter("retries.forfeited", reg),
		ending:    map[endingKey]metrics.Counter{},
		times:     map[classKey]metrics.Histogram{},
	}
}

// count records the ending of a request that took d.
func (m *meters) count(service, class string, ans *kernel.Answer, d time.Duration) {
	k := classKey{service, class}
	m.counter(endingKey{k, ans.Outcome, ans.Reason}).Inc(1)
	if ans.Outcome == call.Answered {
		m.histogram(k).Update(d.Microseconds())
	}
}

func (m *meters) counter(k endingKey) metrics.Counter {
	m.mu.RLock()
	c := m.ending[k]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("requests?service=%s&class=%s&outcome=%s&reason=%s", k.service, k.class, k.outcome, k.reason)
	c = metrics.GetOrRegisterCounter(name, m.reg)
	m.ending[k] = c
	return c
}

func (m *meters) histogram(k classKey) metrics.Histogram {
	m.mu.RLock()
	h := m.times[k]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("request.answered_us?service=%s&class=%s", k.service, k.class)
	h = metrics.GetOrRegisterHistogram(name, m.reg, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	m.times[k] = h
	return h
}
