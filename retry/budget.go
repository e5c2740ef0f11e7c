package retry

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/tokenbucket"
)

// BudgetConfig sets the retry budget towards one target service.
type BudgetConfig struct {
	// Ratio is the number of retries that one deposit allows. A higher value
	// covers more failures but adds more load to an overloaded service: the load
	// stays below 1+Ratio times the load of first attempts.
	Ratio float64

	// MinPerSecond is the number of retries per second that need no deposit, so
	// that calls to a rarely called service can still be retried.
	MinPerSecond float64

	// Burst is the largest number of retries that can accumulate. A higher value
	// covers a longer failure but sends more retries at its start.
	Burst float64
}

// DefaultBudgetConfig returns the settings for a service within one region.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, MinPerSecond: 1, Burst: 10}
}

// The budgets of all nodes together use only these fractions of their common bound.
// The rest is a reserve for nodes that start with a new budget and for requests that
// are counted in another window.
const (
	fleetRatioFraction = 0.5 // of the ratio
	fleetSlackFraction = 0.4 // of the slack, once as burst and once over the window
)

// FleetBudgetConfig returns one node's part of a bound on the repeated requests
// that all nodes together send to a service: at most ratio times its requests plus
// slack in any window. Deposit is then called for each request of a caller instead
// of each success.
func FleetBudgetConfig(ratio, slack float64, window time.Duration, nodes int) BudgetConfig {
	slackPerNode := fleetSlackFraction * slack / float64(max(nodes, 1))
	return BudgetConfig{Ratio: fleetRatioFraction * ratio, MinPerSecond: slackPerNode / window.Seconds(), Burst: max(slackPerNode, 1)}
}

// Budget is a token bucket for the retries towards one service: successes, or
// requests of callers, deposit and retries withdraw. It is not safe for concurrent
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

// NewFleetBudget returns the budget of one node under a bound on all nodes. It
// starts empty, so that a restart of a node adds no retries.
func NewFleetBudget(cfg BudgetConfig) *Budget {
	return &Budget{ratio: cfg.Ratio, bucket: tokenbucket.Bucket{Burst: cfg.Burst, PerSecond: cfg.MinPerSecond}}
}

// Resize changes the settings, for a changed number of nodes.
func (b *Budget) Resize(cfg BudgetConfig) {
	b.ratio = cfg.Ratio
	b.bucket.Burst = cfg.Burst
	b.bucket.PerSecond = cfg.MinPerSecond
	b.bucket.Deposit(0) // caps the tokens at the new burst
}

// Debit spends one retry for a repeated request that is sent in any case, such as
// a sub-call of a repeated request. The budget may go negative, down to -Burst.
func (b *Budget) Debit(now time.Time) { b.bucket.Debit(now) }

// Deposit records one success or, in a fleet budget, one request of a caller.
func (b *Budget) Deposit(now time.Time) {
	b.bucket.Refill(now)
	b.bucket.Deposit(b.ratio)
}

// Withdraw spends one retry and returns false if the budget has none.
func (b *Budget) Withdraw(now time.Time) bool { return b.bucket.Take(0, now) }
