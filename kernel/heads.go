package kernel

import (
	"github.com/rcrowley/go-metrics"

	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// newHeadBudgets returns the budgets for heads that the settings call for.
func newHeadBudgets(s *settings.Settings) *headbudget.Heads {
	if limit := s.Limits.HeadMemoryBytes; limit > 0 {
		return headbudget.NewHeads(int64(limit))
	}
	return headbudget.NewHeads(headbudget.DefaultMemory)
}

func (k *Kernel) registerHeadGauges() {
	for name, budget := range map[string]*headbudget.Budget{
		"reading": k.Heads.Reading, "messages": k.Heads.Messages, "callers": k.Heads.Callers, "nodes": k.Heads.Nodes,
		"backend_answers": k.Heads.BackendAnswers, "node_answers": k.Heads.NodeAnswers, "read_ahead": k.Heads.ReadAhead,
	} {
		gauge := func(figure string, value func(headbudget.Status) int64) {
			metrics.NewRegisteredFunctionalGauge("heads."+name+"."+figure, k.Metrics, func() int64 { return value(budget.Status()) })
		}
		gauge("used", func(s headbudget.Status) int64 { return s.Used })
		gauge("limit", func(s headbudget.Status) int64 { return s.Limit })
		gauge("waiting", func(s headbudget.Status) int64 { return int64(s.Waiting) })
		gauge("refused", func(s headbudget.Status) int64 { return s.Refused })
	}
}
