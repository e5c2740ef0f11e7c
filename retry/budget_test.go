package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Nodes send as many retries as their budgets allow and restart at random. In no
// window may all nodes together send more retries than the bound.
func TestFleetRetriesStayWithinBound(t *testing.T) {
	const (
		ratio, slack = 0.2, 50.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
		steps        = 150
		perWindow    = int(window / step)
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 24).Draw(t, "nodes")
		cfg := FleetBudgetConfig(ratio, slack, window, nodes)
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewFleetBudget(cfg)
		}
		now := time.Unix(0, 0)
		var requests, retries [steps]float64
		requestsPerStep := rapid.IntRange(0, 6).Draw(t, "requests of a node in a step")
		restartPermille := rapid.IntRange(0, 50).Draw(t, "restarts")
		for i := range steps {
			now = now.Add(step)
			for n, b := range budgets {
				if rapid.IntRange(0, 1000).Draw(t, "restart") < restartPermille {
					budgets[n] = NewFleetBudget(cfg)
					b = budgets[n]
				}
				for range requestsPerStep {
					b.Deposit(now)
				}
				requests[i] += float64(requestsPerStep)
				for b.Withdraw(now) {
					retries[i]++
				}
			}
			var requested, spent float64
			for j := max(0, i-perWindow+1); j <= i; j++ {
				requested += requests[j]
				spent += retries[j]
			}
			if spent > ratio*requested+slack {
				t.Fatalf("%v retries for %v requests of %d nodes", spent, requested, nodes)
			}
		}
	})
}

func TestDebtIsPaidBeforeTheNextRetry(t *testing.T) {
	b := NewFleetBudget(BudgetConfig{Ratio: 1, Burst: 2})
	now := time.Unix(0, 0)
	for range 5 {
		b.Debit(now)
	}
	for i := range 2 {
		b.Deposit(now)
		if b.Withdraw(now) {
			t.Fatalf("a retry after %d deposits with a debt of 2", i+1)
		}
	}
	b.Deposit(now)
	if !b.Withdraw(now) {
		t.Fatal("no retry after the debt was paid")
	}
}
