// Package tokenbucket holds a token bucket with a passed clock, of which a part
// can be reserved and which can go into debt.
package tokenbucket

import "time"

// Bucket fills by time and by deposits. Its fields may be set before use, and Burst
// and PerSecond changed at any time. It is not safe for concurrent use.
type Bucket struct {
	Tokens    float64
	Burst     float64 // most tokens that are saved up
	PerSecond float64 // tokens that need no deposit

	filled time.Time
}

// Deposit adds n tokens.
func (b *Bucket) Deposit(n float64) { b.Tokens = min(b.Tokens+n, b.Burst) }

// Take spends one token unless fewer than keep would be left.
func (b *Bucket) Take(reserve float64, now time.Time) bool {
	b.Refill(now)
	if b.Tokens-1 < reserve {
		return false
	}
	b.Tokens--
	return true
}

// Debit spends one token in any case, down to a debt of one burst.
func (b *Bucket) Debit(now time.Time) {
	b.Refill(now)
	b.Tokens = max(b.Tokens-1, -b.Burst)
}

// Refill adds what time has brought since the last call.
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
