package retry

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks of the property tests; flags
// override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	m.Run()
}

// chain simulates executions and calls whose steps rapid interleaves.
type chain struct {
	t       *rapid.T
	depth   int
	pending []func() // steps that may run next; each may add further ones
	retries int
}

// execution adds the sub-calls of an execution as steps.
func (c *chain) execution(a *Allowance, depth int) {
	if depth == c.depth {
		return
	}
	for range rapid.IntRange(0, 3).Draw(c.t, "fanout") {
		c.pending = append(c.pending, func() { c.send(a.Share(), depth) })
	}
}

// send starts one attempt. Its answer may arrive while sub-calls of the target
// still run.
func (c *chain) send(s *Share, depth int) {
	target := NewAllowance(s.Grant())
	sub := target
	if rapid.Bool().Draw(c.t, "context_dropped") {
		sub = NewAllowance(0)
	}
	c.execution(sub, depth+1)
	c.pending = append(c.pending, func() { c.end(s, target, depth) })
}

// end ends an attempt: the answer is lost or received, and the attempt has
// succeeded or failed.
func (c *chain) end(s *Share, target *Allowance, depth int) {
	if rapid.Bool().Draw(c.t, "lost") {
		s.Forfeit() // the target may continue and spend what it was granted
	} else {
		s.Return(target.Settle())
	}
	if rapid.Bool().Draw(c.t, "succeeded") || !s.Take() {
		s.Close()
		return
	}
	c.retries++
	c.pending = append(c.pending, func() { c.send(s, depth) })
}

func TestChainNeverExceedsFirstAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "allowance")
		c := &chain{t: t, depth: rapid.IntRange(1, 4).Draw(t, "depth")}
		c.execution(NewAllowance(n), 0)
		for steps := 0; len(c.pending) > 0 && steps < 300; steps++ {
			i := rapid.IntRange(0, len(c.pending)-1).Draw(t, "next")
			step := c.pending[i]
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			step()
			if c.retries > n {
				t.Fatalf("%d retries under an allowance of %d", c.retries, n)
			}
		}
	})
}

// If no answer is lost, all retries that were not spent return to the allowance.
func TestUnspentRetriesReturnToAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "allowance")
		a := NewAllowance(n)
		shares := make([]*Share, rapid.IntRange(1, 6).Draw(t, "calls"))
		for i := range shares {
			shares[i] = a.Share()
		}
		spent := 0
		for _, s := range shares {
			spentBelow := rapid.IntRange(0, s.Grant()).Draw(t, "below")
			s.Return(s.granted - spentBelow)
			spent += spentBelow
			if rapid.Bool().Draw(t, "retry") && s.Take() {
				spent++
			}
			s.Close()
		}
		if got := a.Settle(); got != n-spent {
			t.Fatalf("%d left of %d after %d spent", got, n, spent)
		}
	})
}

func TestReturnIsCutToTheGrant(t *testing.T) {
	a := NewAllowance(5)
	s := a.Share()
	granted := s.Grant()
	s.Return(granted + 1)
	s.Return(granted)
	s.Close()
	s.Return(granted)
	if a.Left() != 5 || s.Take() || s.Grant() != 0 {
		t.Fatalf("%d left of 5 after returning more than the grant", a.Left())
	}
}

func TestConcurrentSubCallsShareOneAllowance(t *testing.T) {
	const allowance, calls = 50, 64
	a := NewAllowance(allowance)
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			s := a.Share()
			defer s.Close()
			for n := 0; n <= allowance && s.Take(); n++ {
				taken.Add(1)
				s.Return(s.Grant())
			}
		})
	}
	wg.Wait()
	if got := int(taken.Load()) + a.Left(); got != allowance {
		t.Fatalf("taken plus left is %d, want %d", got, allowance)
	}
}
