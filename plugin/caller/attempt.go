package caller

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// attempt is one try of a request at one member.
type attempt struct {
	r       *request
	choice  routing.Choice
	id      call.ID
	share   *retry.Share // nil for an attempt that carries no allowance
	granted int          // retry allowance that travels with the attempt
	ctx     context.Context
	cancel  context.CancelFunc
}

// begin counts an attempt in. hedged ones run beside another that holds the
// allowance.
func (r *request) begin(ctx context.Context, choice routing.Choice, hedged bool) *attempt {
	if r.attempts == 0 {
		r.s.sent(&r.Chain)
	}
	r.attempts++
	r.tried = append(r.tried, choice.Member.Node)
	r.story.routed(r.attempts, choice, hedged)
	a := &attempt{r: r, choice: choice, id: call.NewID()}
	if !hedged {
		a.share = r.share
		a.granted = r.share.Grant()
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// send makes an attempt. If an idempotent one takes long, another member is
// asked beside it, or the only one over another connection, and the better answer
// of the two counts.
func (r *request) send(ctx context.Context, choice routing.Choice) *kernel.Answer {
	first := r.begin(ctx, choice, false)
	if !r.mayHedge() {
		ans := first.do()
		r.count(ans)
		return ans
	}
	results := make(chan *kernel.Answer, 2)
	go func() { results <- first.do() }()
	timer := time.NewTimer(r.hedgeDelay())
	defer timer.Stop()
	select {
	case ans := <-results:
		r.count(ans)
		return ans
	case <-timer.C:
	}
	second, ok := r.hedge(ctx)
	if !ok {
		ans := <-results
		r.count(ans)
		return ans
	}
	go func() { results <- second.do() }()
	return r.better(<-results, results)
}

// better returns an answer that succeeded, or the later one. The other attempt is
// cancelled by the end of the request's context.
func (r *request) better(ans *kernel.Answer, results <-chan *kernel.Answer) *kernel.Answer {
	r.count(ans)
	if ans.Outcome == call.Answered && ans.Status < http.StatusInternalServerError {
		go func() { discard(<-results) }()
		return ans
	}
	other := <-results
	r.count(other)
	if ans.Outcome == call.Answered && other.Outcome != call.Answered {
		discard(other)
		return ans
	}
	discard(ans)
	return other
}

func discard(ans *kernel.Answer) {
	if ans.Body != nil {
		ans.Body.Close()
	}
}

// count notes whether an attempt may have reached a backend server.
func (r *request) count(ans *kernel.Answer) {
	if ans.Outcome != call.Refused || ans.Reason == call.ReasonShed || ans.Reason == call.ReasonMisdirected {
		r.reached++
	}
}

// hedgePart is the part of the time left after which another member is asked:
// late enough that a call that is only slow has mostly ended, early enough that
// the other member can still answer.
const hedgePart = 0.6

func (r *request) hedgeDelay() time.Duration {
	return time.Duration(hedgePart * float64(time.Until(r.Chain.Deadline)))
}

// mayHedge reports whether a second attempt beside the first is possible.
func (r *request) mayHedge() bool {
	return r.Chain.Idempotent && !r.c.naive && r.Allowance.Left()+r.share.Held() > 0 && (r.Chain.MaxSends == 0 || r.reached+1 < r.Chain.MaxSends)
}

// hedge begins a second attempt at another member if allowance and budget pay
// for it.
func (r *request) hedge(ctx context.Context) (*attempt, bool) {
	if ctx.Err() != nil || !r.s.takeRetry(r.share) {
		return nil, false
	}
	choice, refusal := r.pick()
	if refusal.Reason != call.ReasonNone {
		return nil, false
	}
	r.c.meters.retries.Inc(1)
	r.Chain.Repeat = true
	return r.begin(ctx, choice, true), true
}

// do makes the attempt and learns from its ending.
func (a *attempt) do() *kernel.Answer {
	r := a.r
	began := time.Now()
	ans := a.transfer()
	a.prove(ans)
	ans.Latency = time.Since(began)
	a.settle(ans)
	r.s.finish(a.choice.Member.Node, r.Chain.Priority, ans.Result, r.c.naive)
	if ans.Body == nil {
		a.cancel()
		return ans
	}
	ans.Body = &cancelBody{ReadCloser: ans.Body, cancel: a.cancel}
	return ans
}

func (a *attempt) head() *wire.CallHead {
	r := a.r
	var chain []byte
	if r.Chain.RequestID == "" {
		chain = r.Chain.ID[:] // else the caller's id names the chain
	}
	return &wire.CallHead{
		AttemptId: a.id[:], ChainId: chain, Service: r.Service, Class: r.Chain.Class,
		Priority: uint32(r.Chain.Priority), Idempotent: r.Chain.Idempotent,
		TimeoutMs: uint32(max(time.Until(r.Chain.Deadline).Milliseconds(), 0)), Retries: uint32(a.granted),
		Method: r.Method, Target: r.Target, Headers: peer.EncodeHeader(r.Header), BodyBytes: uint32(len(r.Body)),
		SourceNode: r.c.k.NodeID, IdempotencyKey: r.IdempotencyKey, Depth: uint32(r.Chain.Depth + 1),
		RequestId: r.Chain.RequestID, Origin: r.Chain.Origin, Cohort: r.Chain.Cohort, Repeat: r.Chain.Repeat,
		ObjectiveMs: uint32(r.Chain.Objective.Milliseconds()), Host: r.Host,
	}
}

// transfer sends the attempt and holds the answer until it is whole, up to the
// buffer size.
func (a *attempt) transfer() *kernel.Answer {
	c := a.r.c
	ans, err := c.k.Transport.Call(a.ctx, a.choice.Member.Addr, &kernel.Attempt{Head: a.head(), Body: a.r.Body})
	if err != nil {
		c.log.Debug("connect_failed", zap.String("request", a.r.Chain.RequestID), zap.String("member", a.choice.Member.Node), zap.Error(err))
		return &kernel.Answer{Result: call.Result{Outcome: call.Refused, Reason: call.ReasonConnect}}
	}
	if ans.Outcome != call.Answered {
		return ans
	}
	return hold(a.ctx, ans, c.buffer, c.whole)
}

// prove asks the target to withdraw a lost attempt; when the target promises
// that it never ran, it counts as refused.
func (a *attempt) prove(ans *kernel.Answer) {
	c := a.r.c
	if ans.Outcome != call.Unknown || ans.Reason != call.ReasonConnLost || !c.withdraw {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	never, err := c.k.Transport.Withdraw(ctx, a.choice.Member.Addr, a.choice.Member.Node, a.id)
	c.log.Info("withdraw", zap.String("request", a.r.Chain.RequestID), zap.String("attempt", a.id.String()), zap.String("member", a.choice.Member.Node),
		zap.Bool("never_ran", never), zap.Error(err))
	if err == nil && never {
		ans.Outcome = call.Refused
		ans.Reason = call.ReasonWithdrawn
	}
}

// settle accounts for the retry allowance that travelled with the attempt.
func (a *attempt) settle(ans *kernel.Answer) {
	switch {
	case a.share == nil:
	case ans.Trailer != nil && ans.Trailer.Done:
		a.share.Return(ans.Trailer.RetriesLeft)
	case ans.Outcome == call.Refused:
		// Nothing ran, so nothing of what travelled can have been spent.
		a.share.Return(a.granted)
	default:
		a.r.c.meters.forfeited.Inc(int64(a.granted))
		a.share.Forfeit()
	}
}
