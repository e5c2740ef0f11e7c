// Package headbudget bounds what a node holds for the heads of requests. A parsed head takes many
// times its size, because each header line costs a map entry, slices and strings, so a limit on
// the bytes of one head does not bound the memory of many.
//
// Load pattern: many clients that send heads of legal size made of very many short lines, or
// heads that never end.
package headbudget

import (
	"slices"
	"sync"
)

// shareFraction is the part of a Budget, as its divisor, that one Account may hold.
const shareFraction = 8

// Budget is a number of units, such as bytes, shared by the connections of a node. It is safe for
// concurrent use. A nil Budget is unlimited.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	waiting []*Claim // in order of arrival
	refused int64
}

// New returns a budget of limit units.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Account is what one connection holds of a Budget. It may hold a part of the budget only, so
// that one client does not take all. A first claim may exceed that part, and an account that is
// alone may hold any number.
type Account struct {
	budget *Budget
	held   int64
}

// Account returns an account that holds nothing.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Claim is a request of an Account for a part of its budget.
type Claim struct {
	// Granted is closed once the account holds the units.
	Granted <-chan struct{}

	account *Account
	units   int64
	granted chan struct{}
}

// closedChan is Granted of a claim that did not have to wait.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Claim asks for units. Accounts are served in the order in which they ask, except that those
// that hold their share do not hold up others.
func (a *Account) Claim(units int64) *Claim {
	c := &Claim{Granted: closedChan, account: a, units: units}
	b := a.budget
	if b == nil || units == 0 {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fits(c) && !b.isAwaited() {
		b.take(c)
		return c
	}
	c.granted = make(chan struct{})
	c.Granted = c.granted
	b.waiting = append(b.waiting, c)
	return c
}

// Abandon ends the wait for a claim. It reports whether the claim was granted before; the account
// then holds the units.
func (c *Claim) Abandon() (granted bool) {
	if c.granted == nil {
		return true
	}
	b := c.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, c)
	if i < 0 {
		return true
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.refused++
	b.grant() // a smaller one behind it may fit
	return false
}

// Release returns units that the account holds.
func (a *Account) Release(units int64) {
	b := a.budget
	if b == nil || units == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.held -= units
	b.used -= units
	b.grant()
}

// isAwaited reports whether a claim waits for the budget rather than for the share of its account.
// Others must not overtake it. The caller must hold mu.
func (b *Budget) isAwaited() bool { return slices.ContainsFunc(b.waiting, b.withinShare) }

// withinShare reports whether the account of a claim may hold its units besides those it has. The
// caller must hold mu.
func (b *Budget) withinShare(c *Claim) bool {
	return c.account.held == 0 || c.account.held+c.units <= b.limit/shareFraction || b.isAlone(c.account)
}

// isAlone reports whether no other account holds anything. The caller must hold mu.
func (b *Budget) isAlone(a *Account) bool { return b.used == a.held }

// fits reports whether a claim can be granted now. The caller must hold mu.
func (b *Budget) fits(c *Claim) bool {
	return b.withinShare(c) && (b.used+c.units <= b.limit || b.isAlone(c.account))
}

func (b *Budget) take(c *Claim) {
	c.account.held += c.units
	b.used += c.units
}

// grant serves the claims that have waited longest. The caller must hold mu.
func (b *Budget) grant() {
	for i := 0; i < len(b.waiting); {
		c := b.waiting[i]
		switch {
		case !b.withinShare(c):
			i++
		case !b.fits(c):
			return
		default:
			b.take(c)
			close(c.granted)
			b.waiting = slices.Delete(b.waiting, i, i+1)
		}
	}
}

// Status is the use of a Budget.
type Status struct {
	Limit, Used int64 // units
	Waiting     int   // claims that wait
	Refused     int64 // claims that were given up, since the start
}

// Status returns the current use.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Limit: b.limit, Used: b.used, Waiting: len(b.waiting), Refused: b.refused}
}
