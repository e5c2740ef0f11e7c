package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// largeAnswerTarget answers with more than the window of a stream.
type largeAnswerTarget struct {
	kernel.Target
	ended chan error // of the write of the body
}

func (t *largeAnswerTarget) Serve(_ context.Context, _ *wire.CallHead, _ []byte, w kernel.AnswerWriter) call.Result {
	if err := w.WriteHead(call.Result{Status: http.StatusOK}, nil); err != nil {
		t.ended <- err
		return call.Result{Outcome: call.Unknown}
	}
	_, err := w.Write(make([]byte, 8<<20))
	t.ended <- err
	return call.Result{Outcome: call.Answered, Status: http.StatusOK}
}

// TestAbandonedAnswerEndsAtOnce leaves an answer unread and closes it. Guards against a target that waits for
// a minute to write the rest, and holds its slot and a connection to the backend server meanwhile.
func TestAbandonedAnswerEndsAtOnce(t *testing.T) {
	target := &largeAnswerTarget{ended: make(chan error, 1)}
	addr, p := startPeersFor(t, target)
	for range 3 { // the session stays usable
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		id := call.NewID()
		ans, err := p.Call(ctx, addr, &kernel.Attempt{Head: &wire.CallHead{AttemptId: id[:], Service: "s", TimeoutMs: 60_000}})
		if err != nil || ans.Outcome != call.Answered {
			t.Fatalf("%+v, %v", ans, err)
		}
		time.Sleep(50 * time.Millisecond) // the window fills
		ans.Body.Close()
		select {
		case err := <-target.ended:
			if err == nil {
				t.Error("the whole answer was written, although nobody reads it")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the target still writes an answer that was closed")
		}
	}
}
