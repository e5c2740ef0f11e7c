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

// TestQueueIsWatchedWhileCallsArrive lets calls begin to wait more often than the
// queue is looked through. A call that cannot finish in time must still be refused.
func TestQueueIsWatchedWhileCallsArrive(t *testing.T) {
	s := &settings.Settings{}
	s.Node.ID = "a"
	k, err := kernel.New(s, "a", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	tg := newTarget(k)
	now := time.Now()
	cfg := admission.DefaultConfig()
	cfg.SetFixedLimit(1)
	tg.ctrl = admission.New(cfg, rand.New(rand.NewPCG(1, 1)), now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tg.run(ctx)

	offer := func(timeout time.Duration) (admission.VerdictKind, chan admission.Action) {
		decided := make(chan admission.Action, 1)
		v, _ := tg.ctrl.Offer(&admission.Ticket{Class: "lookup", Deadline: now.Add(timeout), Data: decided}, now)
		return v.Kind, decided
	}
	tg.mu.Lock()
	if first, _ := offer(time.Minute); first != admission.Run {
		t.Fatalf("first call: %v", first)
	}
	second, decided := offer(200 * time.Millisecond)
	tg.mu.Unlock()
	if second != admission.Queued {
		t.Fatalf("second call: %v", second)
	}
	arrivals := time.NewTicker(tickInterval / 5)
	defer arrivals.Stop()
	end := time.After(expireInterval - tickInterval) // expire needs a directory
	for {
		select {
		case a := <-decided:
			if a.Start {
				t.Fatal("started although the limit is reached")
			}
			return
		case <-arrivals.C:
			tg.queued()
		case <-end:
			t.Fatalf("not refused in %v; its deadline was after 0.2 s", expireInterval)
		}
	}
}
