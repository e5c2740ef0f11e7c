package peer

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// oddHeader returns a header of lines short lines.
func oddHeader(lines int) http.Header {
	h := http.Header{}
	for i := range lines {
		h[fmt.Sprint(i)] = []string{""}
	}
	return h
}

// sendHead sends a call without a body and returns its result.
func sendHead(p *pool, addr string, h http.Header) call.Result {
	const timeout = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id := call.NewID()
	head := &wire.CallHead{AttemptId: id[:], Service: "s", TimeoutMs: uint32(timeout.Milliseconds()), Headers: EncodeHeader(h)}
	ans, err := p.Call(ctx, addr, &kernel.Attempt{Head: head})
	if err != nil {
		return call.Result{Outcome: call.Refused, Reason: call.ReasonConnect}
	}
	if ans.Body != nil {
		var rest [1]byte
		ans.Body.Read(rest[:])
		ans.Body.Close()
	}
	return ans.Result
}

// Guards against heads of calls that together exceed the memory for heads of the target node, and
// against room that is not returned. Small heads must not wait behind them.
func TestHeadsStayWithinTheBudgetOfTheTarget(t *testing.T) {
	const lines = 2000
	heads := headbudget.NewHeads(8 << 20)
	limit := heads.Nodes.Status().Limit
	var running, highest atomic.Int64
	target := &bodyTarget{serve: func() {
		n := running.Add(1)
		defer running.Add(-1)
		for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
		}
		time.Sleep(50 * time.Millisecond)
	}}
	addr, p := startPeersWithHeads(t, target, nil, heads)
	var wg sync.WaitGroup
	var answered atomic.Int64
	for range 40 {
		wg.Go(func() {
			if sendHead(p, addr, oddHeader(lines)).Outcome == call.Answered {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	most := limit/headbudget.Cost(lines, lines) + 1
	t.Logf("%d of 40 answered, at most %d at a time", answered.Load(), highest.Load())
	if highest.Load() > most || answered.Load() == 0 {
		t.Errorf("%d calls ran at a time, there is room for %d", highest.Load(), most)
	}
	for end := time.Now().Add(5 * time.Second); heads.Nodes.Status().Used != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v after all calls have ended", heads.Nodes.Status())
		}
	}
	room := heads.Nodes.Account()
	<-room.Claim(limit).Granted
	if res := sendHead(p, addr, oddHeader(20)); res.Outcome != call.Answered {
		t.Errorf("a call with a small head beside large ones: %s %s", res.Outcome, res.Reason)
	}
	if res := sendHead(p, addr, oddHeader(lines)); res.Outcome != call.Unknown || res.Reason != call.ReasonConnLost {
		t.Errorf("a call with a large head without room: %s %s", res.Outcome, res.Reason)
	}
	room.Release(limit)
	if res := sendHead(p, addr, oddHeader(lines)); res.Outcome != call.Answered {
		t.Errorf("a call with a large head once there is room: %s %s", res.Outcome, res.Reason)
	}
}

// Guards against streams whose tables keep large heads.
func TestStreamOfALargeHeadIsNotUsedAgain(t *testing.T) {
	target := &bodyTarget{serve: func() {}}
	addr, p := startPeers(t, target, nil)
	for lines, kept := range map[int]int{10: 1, 3000: 0} {
		if res := sendHead(p, addr, oddHeader(lines)); res.Outcome != call.Answered {
			t.Fatalf("%d lines: %s %s", lines, res.Outcome, res.Reason)
		}
		s, err := p.session(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		if len(s.idle) != kept {
			t.Errorf("%d lines: %d streams are kept, want %d", lines, len(s.idle), kept)
		}
		s.mu.Unlock()
	}
}

// Guards against a message whose announced size is allocated before there is room for it.
func TestAnnouncedMessageTakesRoomFirst(t *testing.T) {
	heads := headbudget.NewHeads(headbudget.DefaultMemory)
	addr, p := startPeersWithHeads(t, &bodyTarget{serve: func() {}}, nil, heads)
	s, err := p.session(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		head   *wire.StreamHead
		budget *headbudget.Budget
	}{
		"call":    {&wire.StreamHead{Kind: &wire.StreamHead_Call{Call: &wire.CallHead{Target: string(make([]byte, 100<<10))}}}, heads.Nodes},
		"control": {&wire.StreamHead{Kind: &wire.StreamHead_Exchange{Exchange: &wire.Exchange{Payload: make([]byte, 100<<10)}}}, heads.Messages},
	} {
		var frame bytes.Buffer
		if _, err := protodelim.MarshalTo(&frame, tc.head); err != nil {
			t.Fatal(err)
		}
		st, err := s.mux.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := st.Write(frame.Bytes()[:10]); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); tc.budget.Status().Used < 100<<10; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: an announced message of 100 KB takes %d bytes of room", name, tc.budget.Status().Used)
			}
		}
		st.Close()
		for end := time.Now().Add(5 * time.Second); tc.budget.Status().Used != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d bytes of room after the end of the stream", name, tc.budget.Status().Used)
			}
		}
	}
}

// Guards against a count that differs from what is decoded.
func TestHeadersAreCounted(t *testing.T) {
	list := EncodeHeader(oddHeader(300))
	for _, c := range []*wire.CallHead{{Headers: list}, {Context: &wire.CallContext{Service: "s", Headers: list}, Target: "/x", Cohort: 7}} {
		b, err := proto.Marshal(&wire.StreamHead{Kind: &wire.StreamHead_Call{Call: c}})
		if err != nil {
			t.Fatal(err)
		}
		if n := wire.CountCallHeaders(b); n != len(list) {
			t.Errorf("%d headers are counted, want %d", n, len(list))
		}
	}
}
