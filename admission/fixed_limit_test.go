package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// A fixed limit must not exceed the slots: a backend server may never answer a call
// that it cannot queue. The limit must not leave many slots unused either.
func TestFixedLimitStaysBelowTheSlots(t *testing.T) {
	for _, slots := range []int{1, 10, 30, 159} {
		cfg := DefaultConfig()
		cfg.SetFixedLimit(slots)
		now := time.Unix(0, 0)
		c := New(cfg, rand.New(rand.NewPCG(1, 2)), now)
		running := 0
		for range 2 * slots {
			v, actions := c.Offer(&Ticket{Class: "a", Deadline: now.Add(time.Minute)}, now)
			if v.Kind == Run {
				running++
			}
			for _, a := range actions {
				if a.Start {
					running++
				}
			}
		}
		if running > slots || running < max(1, slots*9/10) {
			t.Errorf("%d calls run at %d slots", running, slots)
		}
	}
}

// A call with less time left than the expected service time runs while slots are
// free and is refused when none is free. One with much less time is always refused.
func TestCallsWithLittleTimeRunOnFreeSlots(t *testing.T) {
	cfg := DefaultConfig()
	cfg.SetFixedLimit(4)
	now := time.Unix(0, 0)
	c := New(cfg, rand.New(rand.NewPCG(1, 2)), now)
	running := []*Ticket{}
	offer := func(left time.Duration) VerdictKind {
		ticket := &Ticket{Class: "a", Deadline: now.Add(left)}
		v, _ := c.Offer(ticket, now)
		if v.Kind == Run {
			running = append(running, ticket)
		}
		return v.Kind
	}
	finish := func(n int) {
		for _, ticket := range running[:n] {
			c.Done(ticket, Sample{Latency: time.Second}, now)
		}
		running = running[n:]
	}
	for range 50 { // teaches a service time of one second
		offer(time.Minute)
		finish(1)
	}
	for range 2 {
		if got := offer(time.Minute); got != Run {
			t.Fatalf("call with ample time: %v", got)
		}
	}
	if got := offer(800 * time.Millisecond); got != Run {
		t.Errorf("call with 0.8 s left while slots are free: %v", got)
	}
	if got := offer(300 * time.Millisecond); got != Refused {
		t.Errorf("call with 0.3 s left while slots are free: %v", got)
	}
	for offer(time.Minute) == Run {
	}
	if got := offer(800 * time.Millisecond); got != Refused {
		t.Errorf("call with 0.8 s left while others wait: %v, %v", got, call.ReasonDeadline)
	}
}
