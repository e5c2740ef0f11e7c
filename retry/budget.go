package retry

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/tokenbucket"
)

// BudgetConfig sets the retry budget towards one target service.
type BudgetConfig struct {
	// Ratio is the number of retries that one success pays for. A higher value
	// rides out more failures and adds more load to an overloaded service: the
	// load stays below 1+Ratio times the load of first attempts.
	Ratio float64

	// MinPerSecond is the number of retries per second that need no success, so
	// that a service called rarely can still be retried.
	MinPerSecond float64

	// Burst is the largest number of retries that can be saved up. A higher value
	// rides out a longer failure and sends more retries at its start.
	Burst float64
}

// DefaultBudgetConfig returns the settings for a service within one region.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, MinPerSecond: 1, Burst: 10}
}

// Parts of a bound that all nodes hold together. The rest is left for nodes that
// start with a new budget, and for requests that are counted in another window.
const (
	fleetRatioPart = 0.5 // of the ratio
	fleetSlackPart = 0.4 // of the slack, once as burst and once over the window
)

// FleetBudgetConfig returns this node's share of a bound on the repeated requests
// that all nodes together send to a service: ratio of its requests plus slack in
// any window. Deposits are then made for the requests of callers, not for
// successes.
func FleetBudgetConfig(ratio, slack float64, window time.Duration, nodes int) BudgetConfig {
	share := fleetSlackPart * slack / float64(max(nodes, 1))
	return BudgetConfig{Ratio: fleetRatioPart * ratio, MinPerSecond: share / window.Seconds(), Burst: max(share, 1)}
}

// Budget is a token bucket for the retries towards one service: successes
// deposit and retries withdraw. It starts full and is not safe for concurrent
// use.
type Budget struct {
	ratio  float64
	bucket tokenbucket.Bucket
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	b := NewFleetBudget(cfg)
	b.bucket.Tokens = cfg.Burst
	return b
}

// NewFleetBudget returns the share of a node of a bound that all nodes hold
// together. It starts empty, so that nodes that are restarted do not gain by it.
func NewFleetBudget(cfg BudgetConfig) *Budget {
	return &Budget{ratio: cfg.Ratio, bucket: tokenbucket.Bucket{Burst: cfg.Burst, PerSecond: cfg.MinPerSecond}}
}

// Resize takes another share, as the number of nodes changes.
func (b *Budget) Resize(cfg BudgetConfig) {
	b.ratio = cfg.Ratio
	b.bucket.Burst = cfg.Burst
	b.bucket.PerSecond = cfg.MinPerSecond
	b.bucket.Deposit(0) // no more than the new burst is kept
}

// Debit counts a repeated request that is sent in any case, such as a call below
// a repeated one. It may leave the budget in debt, up to one burst.
func (b *Budget) Debit(now time.Time) { b.bucket.Debit(now) }

// Deposit records what pays for retries: a success, or a request of a caller.
func (b *Budget) Deposit(now time.Time) {
	b.bucket.Refill(now)
	b.bucket.Deposit(b.ratio)
}

// Withdraw spends one retry and reports false if the budget has none.
func (b *Budget) Withdraw(now time.Time) bool { return b.bucket.Take(0, now) }
