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
	repeat  bool         // an earlier attempt of the chain may have run
	ctx     context.Context
	cancel  context.CancelFunc
}

// begin counts an attempt in. hedged ones run beside another that holds the
// allowance.
func (r *request) begin(ctx context.Context, choice routing.Choice, hedged bool) *attempt {
	if !hedged && r.attempts == 0 {
		r.s.sent(&r.Chain)
	}
	r.mu.Lock()
	r.attempts++
	r.tried = append(r.tried, choice.Member.Node)
	r.story.routed(r.attempts, choice, hedged)
	r.mu.Unlock()
	a := &attempt{r: r, choice: choice, id: call.NewID(), repeat: hedged || r.Chain.Repeat}
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
		return r.count(first.do())
	}
	// The timer runs the second attempt, so that the usual call needs no goroutine
	// of its own.
	second := make(chan *kernel.Answer, 1)
	timer := time.AfterFunc(r.hedgeDelay(), func() { second <- r.hedge(ctx, first) })
	ans := r.count(first.do())
	if timer.Stop() {
		return ans
	}
	if good(ans) {
		go func() { discard(<-second) }()
		return ans
	}
	return r.better(ans, <-second)
}

// better returns the better of two answers; the second is nil if there was no
// second attempt.
func (r *request) better(first, second *kernel.Answer) *kernel.Answer {
	if second == nil {
		return first
	}
	r.Chain.Repeat = true
	r.count(second)
	if second.Outcome == call.Refused || first.Outcome == call.Answered && second.Outcome != call.Answered {
		discard(second)
		return first // a refusal proves nothing of the first attempt
	}
	discard(first)
	return second
}

// good reports whether an answer needs no other.
func good(ans *kernel.Answer) bool {
	return ans.Outcome == call.Answered && ans.Status < http.StatusInternalServerError
}

func discard(ans *kernel.Answer) {
	if ans != nil && ans.Body != nil {
		ans.Body.Close()
	}
}

// count notes whether an attempt may have reached a backend server.
func (r *request) count(ans *kernel.Answer) *kernel.Answer {
	if ans.Outcome != call.Refused || ans.Reason == call.ReasonShed || ans.Reason == call.ReasonMisdirected {
		r.reached++
	}
	return ans
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
	return r.Chain.Idempotent && r.Allowance.Left()+r.share.Held() > 0 && (r.Chain.MaxSends == 0 || r.reached+1 < r.Chain.MaxSends)
}

// hedge makes a second attempt beside the first if allowance and budget pay for
// it, and ends the first once it has an answer that needs no other. It returns nil
// if there was no second attempt.
func (r *request) hedge(ctx context.Context, first *attempt) *kernel.Answer {
	if ctx.Err() != nil || first.ctx.Err() != nil || !r.s.takeRetry(r.share) {
		return nil
	}
	choice, refusal := r.pick()
	if refusal.Reason != call.ReasonNone {
		return nil
	}
	r.c.meters.retries.Inc(1)
	ans := r.begin(ctx, choice, true).do()
	if good(ans) {
		first.cancel()
	}
	return ans
}

// do makes the attempt and learns from its ending.
func (a *attempt) do() *kernel.Answer {
	r := a.r
	began := time.Now()
	ans := a.transfer()
	a.prove(ans)
	ans.Latency = time.Since(began)
	a.settle(ans)
	r.s.finish(a.choice.Member.Node, r.Chain.Priority, ans.Result)
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
		RequestId: r.Chain.RequestID, Origin: r.Chain.Origin, Cohort: r.Chain.Cohort, Repeat: a.repeat,
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
	return hold(a.ctx, ans, c.buffer)
}

// prove asks the target to withdraw a lost attempt; when the target promises
// that it never ran, it counts as refused.
func (a *attempt) prove(ans *kernel.Answer) {
	c := a.r.c
	if ans.Outcome != call.Unknown || ans.Reason != call.ReasonConnLost {
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
