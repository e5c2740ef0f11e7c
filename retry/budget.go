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

	// Reserve is the fraction of the deposits that only preferred calls may spend. A
	// higher value leaves more of the budget to them and less to all others.
	Reserve float64
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

// fleetReserve is the part of the deposits that preferred calls have for themselves. A
// refused call of a chain that needs four more after it is worth a tenth of a direct request
// or less, so chains get a quarter; none of it would leave nothing where one sub-call is all
// that is missing.
const fleetReserve = 0.75

// FleetBudgetConfig returns one node's part of a bound on the repeated requests
// that all nodes together send to a service: at most ratio times its requests plus
// slack in any window. Deposit is then called for each request of a caller instead
// of each success.
func FleetBudgetConfig(ratio, slack float64, window time.Duration, nodes int) BudgetConfig {
	slackPerNode := fleetSlackFraction * slack / float64(max(nodes, 1))
	return BudgetConfig{Ratio: fleetRatioFraction * ratio, MinPerSecond: slackPerNode / window.Seconds(), Burst: max(slackPerNode, 1), Reserve: fleetReserve}
}

// Budget is a token bucket for the retries towards one service: successes, or
// requests of callers, deposit and retries withdraw. It is not safe for concurrent
// use.
//
// Each retry spends a token of the bucket, so that the reserve changes who spends the
// budget and never how much. Calls that are not preferred also spend one of a second
// bucket, which gets a part of the deposits only. It gets all that comes with time: that
// is a part of the fleet's bound that only this node may use, also if it sends no
// preferred calls.
type Budget struct {
	ratio   float64
	reserve float64
	bucket  tokenbucket.Bucket
	others  tokenbucket.Bucket // bounds the calls that are not preferred
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	b := NewFleetBudget(cfg)
	b.bucket.Tokens = cfg.Burst
	b.others.Tokens = cfg.Burst
	return b
}

// NewFleetBudget returns the budget of one node under a bound on all nodes. It
// starts empty, so that a restart of a node adds no retries.
func NewFleetBudget(cfg BudgetConfig) *Budget {
	bucket := tokenbucket.Bucket{Burst: cfg.Burst, PerSecond: cfg.MinPerSecond}
	return &Budget{ratio: cfg.Ratio, reserve: cfg.Reserve, bucket: bucket, others: bucket}
}

// Resize changes the settings, for a changed number of nodes.
func (b *Budget) Resize(cfg BudgetConfig) {
	b.ratio = cfg.Ratio
	b.reserve = cfg.Reserve
	for _, bucket := range []*tokenbucket.Bucket{&b.bucket, &b.others} {
		bucket.Burst = cfg.Burst
		bucket.PerSecond = cfg.MinPerSecond
		bucket.Deposit(0) // caps the tokens at the new burst
	}
}

// Debit spends one retry for a repeated request that is sent in any case, such as
// a sub-call of a repeated request. The budget may go negative, down to -Burst.
func (b *Budget) Debit(now time.Time) { b.bucket.Debit(now) }

// Deposit records one success or, in a fleet budget, one request of a caller.
func (b *Budget) Deposit(now time.Time) {
	b.bucket.Refill(now)
	b.bucket.Deposit(b.ratio)
	b.others.Refill(now)
	b.others.Deposit(b.ratio * (1 - b.reserve))
}

// Withdraw spends one retry and returns false if the budget has none for the call.
func (b *Budget) Withdraw(preferred bool, now time.Time) bool {
	if preferred || b.reserve == 0 {
		return b.bucket.Take(0, now)
	}
	b.bucket.Refill(now)
	b.others.Refill(now)
	if b.others.Tokens < 1 || !b.bucket.Take(0, now) {
		return false
	}
	return b.others.Take(0, now)
}
