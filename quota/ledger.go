package quota

import (
	"cmp"
	"slices"
	"time"
)

// Ledger holds the accounts of the teams that a node owns.
type Ledger struct {
	clock    time.Time // stamps count from here
	accounts map[string]*Account
}

// NewLedger returns an empty ledger. Stamps of its grants count from now.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{clock: now, accounts: map[string]*Account{}}
}

// Ask answers an ask about a team that the node has owned since a time. If it has owned
// the team anew since the account was opened, the account starts again.
func (g *Ledger) Ask(ask Ask, l Limit, owned, now time.Time) Grant {
	a := g.accounts[ask.Team]
	if a == nil || owned.After(a.owned) {
		a = NewAccount(l, owned, now)
		g.accounts[ask.Team] = a
	}
	a.SetLimit(l, now)
	return a.Ask(ask, g.clock, now)
}

// Sweep closes the accounts that are as new ones would be.
func (g *Ledger) Sweep(now time.Time) {
	for name, a := range g.accounts {
		if a.idle(now) {
			delete(g.accounts, name)
		}
	}
}

// Use returns the use of all teams with an account, by name. owns says which teams the
// node owns at present.
func (g *Ledger) Use(now time.Time, owns func(name string) bool) []Use {
	var list []Use
	for name, a := range g.accounts {
		if owns(name) {
			list = append(list, a.Use(name, now))
		}
	}
	slices.SortFunc(list, func(a, b Use) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
