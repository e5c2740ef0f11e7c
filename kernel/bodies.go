package kernel

import (
	"github.com/rcrowley/go-metrics"

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// newBodyBudget returns a budget for request bodies as the settings call for.
func newBodyBudget(s *settings.Settings) *bodybudget.Budget {
	if limit := s.Limits.BodyMemoryBytes; limit > 0 {
		return bodybudget.New(int64(limit))
	}
	return bodybudget.Default()
}

func (k *Kernel) registerBodyGauges() {
	gauge := func(name string, value func(bodybudget.Status) int64) {
		metrics.NewRegisteredFunctionalGauge("bodies."+name, k.Metrics, func() int64 { return value(k.Bodies.Status()) + value(k.CallBodies.Status()) })
	}
	gauge("bytes", func(s bodybudget.Status) int64 { return s.Used })
	gauge("limit_bytes", func(s bodybudget.Status) int64 { return s.Limit })
	gauge("waiting", func(s bodybudget.Status) int64 { return int64(s.Waiting) })
	gauge("refused", func(s bodybudget.Status) int64 { return s.Refused })
}
