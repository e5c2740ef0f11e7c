package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLaggedMatchesLinearSearch compares get with a linear search through all
// values stored so far.
func TestLaggedMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lag = 2 * time.Second
		now := time.Unix(1000, 0)
		l := newLagged(lag, 0)
		var all []sample[int]
		for i := 1; i <= rapid.IntRange(0, 50).Draw(t, "steps"); i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "put") {
				l.put(now, i)
				all = append(all, sample[int]{at: now, value: i})
			}
			want := 0
			for _, s := range all {
				if now.Sub(s.at) >= lag {
					want = s.value
				}
			}
			if got := l.get(now); got != want {
				t.Fatalf("got %d, want %d", got, want)
			}
		}
	})
}
