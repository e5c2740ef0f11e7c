package target

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/admission"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// TestQueueIsCheckedWhileCallsArrive queues calls more often than the queue is
// checked. New calls must not delay the checks: a call that cannot finish
// before its deadline must still be refused.
func TestQueueIsCheckedWhileCallsArrive(t *testing.T) {
	s := &settings.Settings{}
	s.Node.ID = "a"
	k, err := kernel.New(s, "a", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	target := newTarget(k)
	now := time.Now()
	cfg := admission.DefaultConfig()
	cfg.SetFixedLimit(1)
	target.controller = admission.New(cfg, rand.New(rand.NewPCG(1, 1)), now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go target.run(ctx)

	offer := func(timeout time.Duration) (admission.VerdictKind, chan admission.Action) {
		decided := make(chan admission.Action, 1)
		v, _ := target.controller.Offer(&admission.Ticket{Class: "lookup", Deadline: now.Add(timeout), Data: decided}, now)
		return v.Kind, decided
	}
	target.mu.Lock()
	if first, _ := offer(time.Minute); first != admission.Run {
		t.Fatalf("first call: %v", first)
	}
	second, decided := offer(200 * time.Millisecond)
	target.mu.Unlock()
	if second != admission.Queued {
		t.Fatalf("second call: %v", second)
	}
	arrivals := time.NewTicker(queueCheckInterval / 5)
	defer arrivals.Stop()
	timeout := time.After(expireInterval - queueCheckInterval) // expire must not run: it needs a directory
	for {
		select {
		case a := <-decided:
			if a.Start {
				t.Fatal("started although the limit is reached")
			}
			return
		case <-arrivals.C:
			target.signalWaiting()
		case <-timeout:
			t.Fatalf("not refused in %v; its deadline was after 0.2 s", expireInterval)
		}
	}
}
