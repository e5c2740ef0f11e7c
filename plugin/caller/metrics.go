package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// Reservoir of the latency histograms: exponentially decaying, weighted towards the
// last five minutes (Cormode et al., Forward Decay, 2009).
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// requestMetrics counts the outcomes of requests and records their latencies.
type requestMetrics struct {
	reg              metrics.Registry
	retriesSpent     metrics.Counter
	retriesForfeited metrics.Counter

	mu        sync.RWMutex
	outcomes  map[outcomeKey]metrics.Counter
	latencies map[classKey]metrics.Histogram
}

type classKey struct{ service, class string }

type outcomeKey struct {
	classKey
	outcome call.Outcome
	reason  call.Reason
}

func newRequestMetrics(reg metrics.Registry) *requestMetrics {
	return &requestMetrics{
		reg:              reg,
		retriesSpent:     metrics.GetOrRegisterCounter("retries.spent", reg),
		retriesForfeited: metrics.GetOrRegisterCounter("retries.forfeited", reg),
		outcomes:         map[outcomeKey]metrics.Counter{},
		latencies:        map[classKey]metrics.Histogram{},
	}
}

// record counts the outcome of a request and, if it was answered, its latency d.
func (m *requestMetrics) record(service, class string, ans *kernel.Answer, d time.Duration) {
	k := classKey{service, class}
	m.counter(outcomeKey{k, ans.Outcome, ans.Reason}).Inc(1)
	if ans.Outcome == call.Answered {
		m.histogram(k).Update(d.Microseconds())
	}
}

func (m *requestMetrics) counter(k outcomeKey) metrics.Counter {
	m.mu.RLock()
	c := m.outcomes[k]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("requests?service=%s&class=%s&outcome=%s&reason=%s", k.service, k.class, k.outcome, k.reason)
	c = metrics.GetOrRegisterCounter(name, m.reg)
	m.outcomes[k] = c
	return c
}

func (m *requestMetrics) histogram(k classKey) metrics.Histogram {
	m.mu.RLock()
	h := m.latencies[k]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("request.answered_us?service=%s&class=%s", k.service, k.class)
	h = metrics.GetOrRegisterHistogram(name, m.reg, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	m.latencies[k] = h
	return h
}
