package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNodesTogetherHoldTheBound lets some nodes serve requests, spend what retries
// they can and restart at will. In no window may they spend more than the bound
// that they hold together.
func TestNodesTogetherHoldTheBound(t *testing.T) {
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
		rate := rapid.IntRange(0, 6).Draw(t, "requests of a node in a step")
		restarts := rapid.IntRange(0, 50).Draw(t, "restarts")
		for i := range steps {
			now = now.Add(step)
			for n, b := range budgets {
				if rapid.IntRange(0, 1000).Draw(t, "restart") < restarts {
					budgets[n] = NewFleetBudget(cfg)
					b = budgets[n]
				}
				for range rate {
					b.Deposit(now)
				}
				requests[i] += float64(rate)
				for b.Withdraw(now) {
					retries[i]++
				}
			}
			var asked, spent float64
			for j := max(0, i-perWindow+1); j <= i; j++ {
				asked += requests[j]
				spent += retries[j]
			}
			if spent > ratio*asked+slack {
				t.Fatalf("%v retries for %v requests of %d nodes", spent, asked, nodes)
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
			t.Fatalf("a retry after %d deposits of a debt of 2", i+1)
		}
	}
	b.Deposit(now)
	if !b.Withdraw(now) {
		t.Fatal("no retry after the debt was paid")
	}
}
