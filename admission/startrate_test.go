package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

func perSecond(v float64) call.RateLimit { return call.RateLimit{Stated: true, PerSecond: v} }

// TestStartsStayWithinRateLimit offers more calls than the rate limit allows, of any
// length, while the limit changes. The starts in any period under one limit must not
// exceed the limit and its burst, and no call may wait while both limits have room.
func TestStartsStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.SetFixedLimit(20)
		c := New(cfg, rand.New(rand.NewPCG(1, 1)), modelEpoch)
		now := modelEpoch
		limit := 0.0
		var starts []time.Time // under the current limit
		var running []*Ticket
		begin := func(ticket *Ticket) {
			running = append(running, ticket)
			starts = append(starts, now)
		}
		apply := func(actions []Action) {
			for _, a := range actions {
				if a.Start {
					begin(a.Ticket)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				starts = nil
				limit = rapid.Float64Range(0, 60).Draw(t, "limit")
				apply(c.SetRateLimit(perSecond(limit), now))
			case 1, 2:
				for _, ticket := range running {
					apply(c.Done(ticket, Sample{Latency: 30 * time.Millisecond}, now))
				}
				running = running[:0]
			case 3:
				apply(c.Tick(now))
			default:
				ticket := &Ticket{Class: "a", Priority: call.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), Deadline: now.Add(2 * time.Second)}
				v, actions := c.Offer(ticket, now)
				if v.Kind == Run {
					begin(ticket)
				}
				apply(actions)
			}
			if c.startRate.limited {
				checkStarts(t, starts, max(limit, minStartsPerSecond))
			}
		}
		apply(c.Tick(now))
		if c.Waiting() > 0 && c.canStart(now) {
			t.Fatal("calls wait although both limits have room")
		}
	})
}

// checkStarts checks that any period contains at most the starts of its length and one
// burst.
func checkStarts(t *rapid.T, starts []time.Time, perSecond float64) {
	burst := max(1, perSecond*startBurst.Seconds())
	for i := range starts {
		for j := i; j < len(starts); j++ {
			allowed := starts[j].Sub(starts[i]).Seconds()*perSecond + burst
			if float64(j-i+1) > allowed+1e-6 {
				t.Fatalf("%d starts in %v at %v per second", j-i+1, starts[j].Sub(starts[i]), perSecond)
			}
		}
	}
}

// TestScarceRateGoesToImportantCalls offers twice the calls that the announced rate
// allows. The more important half must be served, and what is started must use the rate.
func TestScarceRateGoesToImportantCalls(t *testing.T) {
	for _, size := range backendSizes {
		const share = 0.4 // of the capacity; critical and high calls are 0.3 of the load
		m := newModel(size, 1)
		cfg := DefaultConfig()
		cfg.SetFixedLimit(size.slots)
		m.onTick = func() {
			if m.now == modelTick {
				m.ctl.SetRateLimit(perSecond(share*size.capacity()), m.clock())
			}
		}
		m.run(cfg, 1, 14*time.Second)
		good := m.goodput(5*time.Second, 14*time.Second) / (share * size.capacity())
		if good < 0.9 || good > 1.05 {
			t.Errorf("%d slots: %.2f of the announced rate is used", size.slots, good)
		}
		for _, class := range []string{"buy", "lookup"} {
			if got := m.answeredFraction(class); got < 0.97 {
				t.Errorf("%d slots: %.2f of the calls of %s are answered", size.slots, got, class)
			}
		}
	}
}

// TestLimitEndsWithTheNextAnswer checks that calls that wait for the rate start once it
// is not limited any more.
func TestLimitEndsWithTheNextAnswer(t *testing.T) {
	cfg := DefaultConfig()
	cfg.SetFixedLimit(10)
	c := New(cfg, rand.New(rand.NewPCG(1, 1)), modelEpoch)
	c.SetRateLimit(perSecond(10), modelEpoch)
	for range 2 {
		if v, _ := c.Offer(&Ticket{Deadline: modelEpoch.Add(time.Second)}, modelEpoch); v.Kind != Queued {
			t.Fatalf("started without a token: %v", v.Kind)
		}
	}
	if actions := c.SetRateLimit(call.RateLimit{}, modelEpoch); len(actions) != 2 || c.Waiting() != 0 {
		t.Errorf("%d of 2 calls started", len(actions))
	}
	if p := c.Pressure(modelEpoch); p.InFlight != 2 || p.QueueDelay != 0 {
		t.Errorf("pressure %+v", p)
	}
}
