package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// twoMembers is a fleet with two members of one service.
type twoMembers struct{ kernel.Fleet }

func (twoMembers) Version() uint64 { return 1 }

func (f twoMembers) Members(string) []membership.Member { return f.All() }

func (twoMembers) All() []membership.Member {
	return []membership.Member{
		{ID: "a", Addr: "127.0.0.1:1", Service: "s", Slots: 10, State: membership.Alive},
		{ID: "b", Addr: "127.0.0.1:2", Service: "s", Slots: 10, State: membership.Alive},
	}
}

// emptyReplica is a node that has not read the store.
type emptyReplica struct{ kernel.Replica }

func (emptyReplica) Revision() uint64 { return 0 }

const testBufferBytes = 1 << 10

// slowBody is a body whose last part arrives when it is released, unless its attempt is canceled
// before.
type slowBody struct {
	ctx      context.Context
	first    *bytes.Reader
	released <-chan struct{}
	ended    bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	if b.ended {
		return 0, io.EOF
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	select {
	case <-b.released:
		b.ended = true
		return copy(p, "end"), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (*slowBody) Close() error { return nil }

// hedgedTransport answers the first attempt once there is a second one, with a body that is
// longer than the buffer, and the second one once the answer of the first is passed on.
type hedgedTransport struct {
	kernel.Transport
	calls     atomic.Int32
	second    chan struct{} // closed once there is a second attempt
	passedOn  chan struct{} // closed once the caller has an answer
	secondEnd chan struct{} // closed when the second attempt returns
	released  chan struct{}
}

func (tr *hedgedTransport) Call(ctx context.Context, _ string, _ *kernel.Attempt) (*kernel.Answer, error) {
	ok := call.Result{Outcome: call.Answered, Status: http.StatusOK}
	if tr.calls.Add(1) > 1 {
		defer close(tr.secondEnd)
		close(tr.second)
		<-tr.passedOn
		return &kernel.Answer{Result: ok, Body: io.NopCloser(bytes.NewReader(nil)), Trailer: &kernel.Trailer{}}, nil
	}
	select {
	case <-tr.second:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	body := &slowBody{ctx: ctx, first: bytes.NewReader(make([]byte, 2*testBufferBytes)), released: tr.released}
	return &kernel.Answer{Result: ok, Body: body, Trailer: &kernel.Trailer{}}, nil
}

// TestSecondAttemptLeavesTheAnswerThatIsPassedOn lets the second attempt of a slow request succeed
// while the long answer of the first is being read. It guards against an answer that is cut in
// the middle.
func TestSecondAttemptLeavesTheAnswerThatIsPassedOn(t *testing.T) {
	const deadline = 2 * time.Second // the second attempt is made after 0.6 of it
	s := &settings.Settings{}
	s.Limits.BufferBytes = testBufferBytes
	s.Bounds.RetryRatio, s.Bounds.RetrySlack, s.Bounds.RetryWindow = 0.2, 50, 10*time.Second
	k, err := kernel.New(s, "n", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	k.Fleet, k.Replica = twoMembers{}, emptyReplica{}
	tr := &hedgedTransport{second: make(chan struct{}), passedOn: make(chan struct{}), secondEnd: make(chan struct{}), released: make(chan struct{})}
	k.Transport = tr
	c := newCaller(k)
	for range 100 {
		c.service("s").recordFirstAttempt(&kernel.Request{FromClient: true}) // retries are earned by requests
	}
	ans := c.Do(context.Background(), &kernel.Request{
		Service: "s", Method: http.MethodGet, Target: "/", FromClient: true, Allowance: retry.NewAllowance(4),
		Chain: call.Chain{ID: call.NewID(), RequestID: "r", Idempotent: true, Deadline: time.Now().Add(deadline)},
	})
	if ans.Outcome != call.Answered {
		t.Fatalf("%+v", ans.Result)
	}
	close(tr.passedOn)
	<-tr.secondEnd
	time.Sleep(50 * time.Millisecond) // the second attempt has been counted as a success
	close(tr.released)
	body, err := io.ReadAll(ans.Body)
	if err != nil || len(body) != 2*testBufferBytes+len("end") {
		t.Errorf("%d bytes of the answer, %v", len(body), err)
	}
	ans.Body.Close()
	if n := tr.calls.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
}
