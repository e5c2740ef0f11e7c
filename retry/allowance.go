// Package retry decides whether a failed attempt is retried. An allowance bounds
// the retries of a whole call chain, and a budget bounds the retries towards one
// service in proportion to its successes or its requests.
package retry

import "sync"

// Allowance is the number of retries that one first request or one execution
// may still cause, at this node and further down the chain. It is safe for
// concurrent use.
//
// Retries are never created: each one is either left, held by a Share, granted to
// an attempt, spent, or forfeited. What is granted becomes the allowance of the
// execution at the target, so by induction the retries of the whole chain never
// exceed the first allowance.
type Allowance struct {
	mu   sync.Mutex
	left int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	return &Allowance{left: max(n, 0)}
}

// Left returns the number of retries that no Share holds. Use Settle for the
// number to return with the answer.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Settle removes and returns the retries that are left, to be returned with the
// answer. An execution that continues after its answer was sent cannot spend them
// again: it has only what its open shares hold.
func (a *Allowance) Settle() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.left
	a.left = 0
	return n
}

// Share moves half of what is left, rounded up, into a Share for one call.
func (a *Allowance) Share() *Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := (a.left + 1) / 2
	a.left -= n
	return &Share{allowance: a, held: n}
}
