package tokenbucket

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Tokens are deposited and taken at random times. No more may be taken than deposits
// and time have added.
func TestSpentTokensNeverExceedIncome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bucket{Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst")), PerSecond: float64(rapid.IntRange(0, 10).Draw(t, "rate"))}
		start := time.Unix(0, 0)
		now := start
		b.Refill(now)
		var spent, deposited float64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 1).Draw(t, "what") {
			case 0:
				b.Deposit(0.5)
				deposited += 0.5
			case 1:
				if b.Take(0, now) {
					spent++
				}
			}
			if b.Tokens > b.Burst || b.Tokens < 0 {
				t.Fatalf("%v tokens at a burst of %v", b.Tokens, b.Burst)
			}
		}
		if income := deposited + now.Sub(start).Seconds()*b.PerSecond; spent+b.Tokens > income+1e-6 {
			t.Fatalf("%v spent and %v left of an income of %v", spent, b.Tokens, income)
		}
	})
}

func TestReserve(t *testing.T) {
	b := &Bucket{Tokens: 3, Burst: 3}
	now := time.Unix(0, 0)
	if !b.Take(2, now) || b.Take(2, now) || !b.Take(0, now) {
		t.Fatalf("%v tokens left", b.Tokens)
	}
}

func TestDebtIsBounded(t *testing.T) {
	b := &Bucket{Burst: 2}
	now := time.Unix(0, 0)
	for range 9 {
		b.Debit(now)
	}
	if b.Tokens != -2 {
		t.Fatalf("%v tokens", b.Tokens)
	}
}
