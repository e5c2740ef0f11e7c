// Package tokenbucket provides a token bucket that can keep a reserve and go into
// debt. It reads no clock; the current time is passed in.
package tokenbucket

import "time"

// Bucket is a token bucket that is refilled over time and by deposits. The fields
// may be set before use; Burst and PerSecond may be changed at any time. It is not
// safe for concurrent use.
type Bucket struct {
	Tokens    float64 // negative while in debt
	Burst     float64 // highest value of Tokens
	PerSecond float64 // tokens added per second

	filled time.Time
}

// Deposit adds n tokens, up to Burst.
func (b *Bucket) Deposit(n float64) { b.Tokens = min(b.Tokens+n, b.Burst) }

// Take spends one token unless fewer than reserve would be left, and reports
// whether it did.
func (b *Bucket) Take(reserve float64, now time.Time) bool {
	b.Refill(now)
	if b.Tokens-1 < reserve {
		return false
	}
	b.Tokens--
	return true
}

// Debit spends one token even if none is left, down to a debt of Burst.
func (b *Bucket) Debit(now time.Time) {
	b.Refill(now)
	b.Tokens = max(b.Tokens-1, -b.Burst)
}

// Refill adds the tokens for the time since the last call.
func (b *Bucket) Refill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
	}
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.Deposit(elapsed.Seconds() * b.PerSecond)
}
