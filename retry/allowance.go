// Package retry decides whether a failed attempt is sent again. It bounds the
// retries of a whole call chain by one allowance and the retries towards one
// service by a budget that successes pay for.
package retry

import "sync"

// Allowance is the number of retries that one first request or one execution
// may still cause, at this node and below it. It is safe for concurrent use.
//
// The bound holds by conservation: every unit is either left, held by a Share,
// travelling with an attempt, spent, or lost. A unit that travels becomes the
// allowance of the execution at the target, so by induction the retries of the
// whole chain never exceed the first allowance.
type Allowance struct {
	mu   sync.Mutex
	left int
}

// NewAllowance returns an allowance of n retries; a negative n counts as 0.
func NewAllowance(n int) *Allowance {
	return &Allowance{left: max(n, 0)}
}

// Left returns the number of retries that no Share holds. Use Settle for the
// number that goes back with the answer.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// Settle takes out what is left and returns it, to go back with the answer. An
// execution that goes on after its answer was sent cannot spend a retry that was
// given back: it has only what its open shares held.
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
	return &Share{from: a, held: n}
}
