package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

type noReplica struct{}

func (noReplica) Revision() uint64               { return 0 }
func (noReplica) ObserveRevision(string, uint64) {}
func (noReplica) ProofAge() time.Duration        { return 0 }

// bodyTarget answers attempts with status 200 and records the bytes of bodies that it
// holds at a time.
type bodyTarget struct {
	kernel.Target
	serve         func()
	held, highest atomic.Int64
	last          atomic.Pointer[[]byte]
}

func (t *bodyTarget) Serve(_ context.Context, _ *wire.CallHead, body []byte, w kernel.AnswerWriter) call.Result {
	n := t.held.Add(int64(len(body)))
	defer t.held.Add(-int64(len(body)))
	for old := t.highest.Load(); n > old && !t.highest.CompareAndSwap(old, n); old = t.highest.Load() {
	}
	t.last.Store(&body)
	t.serve()
	if err := w.WriteHead(call.Result{Status: 200}, nil); err != nil {
		return call.Result{Outcome: call.Unknown}
	}
	return call.Result{Outcome: call.Answered, Status: 200}
}

// startPeers starts a target node with the given budget and returns its address and the
// pool of a source node.
func startPeers(t *testing.T, target *bodyTarget, bodies *bodybudget.Budget) (string, *pool) {
	return startPeersWithHeads(t, target, bodies, headbudget.NewHeads(headbudget.DefaultMemory))
}

// startPeersFor is startPeers for any target, without a budget for bodies.
func startPeersFor(t *testing.T, target kernel.Target) (string, *pool) {
	return startPeersWithHeads(t, target, nil, headbudget.NewHeads(headbudget.DefaultMemory))
}

// startPeersWithHeads is startPeers with budgets for heads.
func startPeersWithHeads(t *testing.T, target kernel.Target, bodies *bodybudget.Budget, heads *headbudget.Heads) (string, *pool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	cfg := DefaultConfig()
	cfg.MaxRequestBytes = func() int { return 64 << 20 }
	newNode := func() *peer {
		s := &settings.Settings{}
		s.Listen.Peer = addr
		return newPeer(cfg, &kernel.Kernel{Settings: s, Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Replica: noReplica{}, Target: target, CallBodies: bodies, Heads: heads})
	}
	node, source := newNode(), newNode()
	if err := node.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		source.pool.close()
		node.Stop(context.Background())
	})
	return addr, source.pool
}

func sendBody(p *pool, addr string, body []byte, timeout time.Duration) call.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	id := call.NewID()
	head := &wire.CallHead{AttemptId: id[:], Service: "s", TimeoutMs: uint32(timeout.Milliseconds()), BodyBytes: uint32(len(body))}
	ans, err := p.Call(ctx, addr, &kernel.Attempt{Head: head, Body: body})
	if err != nil {
		return call.Result{Outcome: call.Refused, Reason: call.ReasonConnect}
	}
	if ans.Body != nil {
		ans.Body.Close()
	}
	return ans.Result
}

// Guards against bodies that exceed the budget of the target node, and against attempts
// that end unknown although there was no room for their body: 100 uploads at once must each
// be answered, or refused as not run.
func TestUploadsStayWithinTheBudgetOfTheTarget(t *testing.T) {
	const limit = 4 << 20
	bodies := bodybudget.New(limit)
	target := &bodyTarget{serve: func() { time.Sleep(50 * time.Millisecond) }}
	addr, p := startPeers(t, target, bodies)
	var answered, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch res := sendBody(p, addr, make([]byte, 20<<10+i<<10), 2*time.Second); {
			case res.Outcome == call.Answered:
				answered.Add(1)
			case res.Outcome == call.Refused && res.Reason == call.ReasonBodyRoom:
				refused.Add(1)
			default:
				t.Errorf("%s %s", res.Outcome, res.Reason)
			}
		}()
	}
	wg.Wait()
	t.Logf("%d answered, %d refused, at most %d bytes held", answered.Load(), refused.Load(), target.highest.Load())
	if target.highest.Load() > limit {
		t.Errorf("%d bytes of bodies were held, the budget is %d", target.highest.Load(), limit)
	}
	if answered.Load() == 0 {
		t.Error("no upload was answered")
	}
	for end := time.Now().Add(5 * time.Second); bodies.Status().Used != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", bodies.Status().Used)
		}
	}
}

// Guards against a stream that cannot be used after a refused body, and against a refusal
// that comes only after the time of the attempt.
func TestRefusedBodyLeavesTheStreamUsable(t *testing.T) {
	bodies := bodybudget.New(1 << 20)
	target := &bodyTarget{serve: func() {}}
	addr, p := startPeers(t, target, bodies)
	if res := sendBody(p, addr, make([]byte, 4<<20), time.Second); res.Outcome != call.Refused || res.Reason != call.ReasonBodyRoom {
		t.Errorf("a body above the budget: %s %s", res.Outcome, res.Reason)
	}
	body := bytes.Repeat([]byte("0123456789"), 30<<10)
	if res := sendBody(p, addr, body, time.Second); res.Outcome != call.Answered {
		t.Fatalf("a body after a refused one: %s %s", res.Outcome, res.Reason)
	}
	if !bytes.Equal(*target.last.Load(), body) {
		t.Error("the body arrived altered")
	}
}
