package headbudget

import "context"

// Room is what the holder of one head has of a budget. The zero Room is unlimited.
type Room struct {
	account *Account
	held    int64
}

// Room returns a room that holds nothing.
func (b *Budget) Room() Room { return Room{account: b.Account()} }

// Set changes what the room holds to that many units, and waits until they are granted. If ctx ends
// before, it holds what it did and returns the error of ctx.
func (r *Room) Set(ctx context.Context, units int64) error {
	if r.account == nil {
		return nil
	}
	if units <= r.held {
		r.account.Release(r.held - units)
		r.held = units
		return nil
	}
	claim := r.account.Claim(units - r.held)
	select {
	case <-claim.Granted:
	case <-ctx.Done():
		if !claim.Abandon() {
			return ctx.Err()
		}
	}
	r.held = units
	return nil
}

// Add is Set for units besides those that the room holds.
func (r *Room) Add(ctx context.Context, units int64) error { return r.Set(ctx, r.held+units) }

// Free returns all that the room holds.
func (r *Room) Free() {
	if r.account != nil {
		r.account.Release(r.held)
		r.held = 0
	}
}
