package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// attempt is one attempt of a request at one member.
type attempt struct {
	req            *request
	choice         routing.Choice
	id             call.ID
	share          *retry.Share // nil for a hedged attempt, which carries no retry allowance
	grantedRetries int          // retry allowance handed over with the attempt
	repeat         bool         // an earlier attempt of the chain may have run
	mayHandBack    bool         // the target may refuse it if it would end sooner at another member
	ctx            context.Context
	cancel         context.CancelFunc
}

// startAttempt records and returns a new attempt. A hedged attempt runs in parallel
// with another one, which holds the retry allowance.
func (r *request) startAttempt(ctx context.Context, choice routing.Choice, hedged bool) *attempt {
	if !hedged && r.attempts == 0 {
		r.svc.recordFirstAttempt(r.Request)
	}
	r.mu.Lock()
	r.attempts++
	r.triedNodes = append(r.triedNodes, choice.Member.Node)
	r.decisions.recordRoute(r.attempts, choice, hedged)
	mayHandBack := r.attempts == 1 && choice.OthersFree
	r.mu.Unlock()
	a := &attempt{req: r, choice: choice, id: call.NewID(), repeat: hedged || r.Chain.Repeat, mayHandBack: mayHandBack}
	if !hedged {
		a.share = r.share
		a.grantedRetries = r.share.Grant()
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// send makes an attempt at the chosen member. If an idempotent request takes longer
// than hedgeDelay, a second attempt is made in parallel, at another member or, if
// there is no other, at the same one over a new connection. The better answer of the
// two is returned.
func (r *request) send(ctx context.Context, choice routing.Choice) *kernel.Answer {
	first := r.startAttempt(ctx, choice, false)
	if !r.canHedge() {
		return r.countPossibleSend(first.execute())
	}
	// The timer starts the second attempt, so that a call without one needs no
	// extra goroutine.
	second := make(chan *kernel.Answer, 1)
	var decided atomic.Bool // one of the attempts has succeeded, and its answer is passed on
	timer := time.AfterFunc(r.hedgeDelay(), func() { second <- r.hedge(ctx, first, &decided) })
	ans := r.countPossibleSend(first.execute())
	if timer.Stop() {
		return ans
	}
	if isSuccess(ans) && decided.CompareAndSwap(false, true) {
		go func() { closeBody(<-second) }()
		return ans
	}
	return r.betterAnswer(ans, <-second)
}

// betterAnswer returns the better of two answers and closes the body of the other.
// second is nil if there was no second attempt.
func (r *request) betterAnswer(first, second *kernel.Answer) *kernel.Answer {
	if second == nil {
		return first
	}
	r.Chain.Repeat = true
	r.countPossibleSend(second)
	if second.Outcome == call.Refused || first.Outcome == call.Answered && second.Outcome != call.Answered {
		closeBody(second)
		return first // the refusal of one attempt does not prove that the other did not run
	}
	closeBody(first)
	return second
}

// isSuccess reports whether ans is an answer with a status below 500, so that no
// second answer is needed.
func isSuccess(ans *kernel.Answer) bool {
	return ans.Outcome == call.Answered && ans.Status < http.StatusInternalServerError
}

// closeBody closes the body of an answer that is not used; ans may be nil.
func closeBody(ans *kernel.Answer) {
	if ans != nil && ans.Body != nil {
		ans.Body.Close()
	}
}

// countPossibleSend counts the attempt of ans if it may have reached a backend
// server, and returns ans.
func (r *request) countPossibleSend(ans *kernel.Answer) *kernel.Answer {
	if ans.Outcome != call.Refused || ans.Reason == call.ReasonShed || ans.Reason == call.ReasonMisdirected {
		r.possibleSends++
	}
	return ans
}

// hedgeDelayFraction is the fraction of the remaining time after which a second
// attempt is made: late enough that most slow calls have ended, early enough that
// the second member can still answer before the deadline.
const hedgeDelayFraction = 0.6

func (r *request) hedgeDelay() time.Duration {
	return time.Duration(hedgeDelayFraction * float64(time.Until(r.Chain.Deadline)))
}

// canHedge reports whether the request may get a second, parallel attempt: it is
// idempotent, retries are left, and MaxSends allows a send besides the first
// attempt.
func (r *request) canHedge() bool {
	return r.Chain.Idempotent && r.Allowance.Left()+r.share.Held() > 0 && (r.Chain.MaxSends == 0 || r.possibleSends+1 < r.Chain.MaxSends)
}

// hedge makes a second attempt in parallel with the first if the retry allowance and
// the budget permit it. It cancels the first attempt once the second has succeeded,
// unless the answer of the first is being passed on already; decided says so. It returns
// nil if no second attempt was made.
func (r *request) hedge(ctx context.Context, first *attempt, decided *atomic.Bool) *kernel.Answer {
	if ctx.Err() != nil || first.ctx.Err() != nil || !r.svc.spendRetry(r.retryCall(), r.share) {
		return nil
	}
	choice, refusal := r.pickMember()
	if refusal.Reason != call.ReasonNone {
		return nil
	}
	r.caller.metrics.retriesSpent.Inc(1)
	ans := r.startAttempt(ctx, choice, true).execute()
	if isSuccess(ans) && decided.CompareAndSwap(false, true) {
		first.cancel()
	}
	return ans
}

// execute makes the attempt, settles its retry allowance and reports the result to
// the router.
func (a *attempt) execute() *kernel.Answer {
	r := a.req
	start := time.Now()
	ans := a.sendAndBuffer()
	r.caller.recordAnnouncement(a.choice.Member.Addr, ans.Pressure)
	a.withdrawIfLost(ans)
	ans.Latency = time.Since(start)
	a.settleRetries(ans)
	r.svc.recordResult(a.choice.Member.Node, r.Chain.Priority, ans.Result)
	if ans.Body == nil {
		a.cancel()
		return ans
	}
	ans.Body = &cancelBody{ReadCloser: ans.Body, cancel: a.cancel}
	return ans
}

func (a *attempt) head() *wire.CallHead {
	r := a.req
	var chain []byte
	if r.Chain.RequestID == "" {
		chain = r.Chain.ID[:] // with a request id, the chain id is not sent
	}
	return &wire.CallHead{
		AttemptId: a.id[:], ChainId: chain, Service: r.Service, Class: r.Chain.Class,
		Priority: uint32(r.Chain.Priority), Idempotent: r.Chain.Idempotent,
		TimeoutMs: uint32(max(time.Until(r.Chain.Deadline).Milliseconds(), 0)), Retries: uint32(a.grantedRetries),
		Method: r.Method, Target: r.Target, Headers: peer.EncodeHeader(r.Header), BodyBytes: uint32(len(r.Body)),
		SourceNode: r.caller.k.NodeID, IdempotencyKey: r.IdempotencyKey, Depth: uint32(r.Chain.Depth + 1),
		RequestId: r.Chain.RequestID, Team: r.Chain.Team, Origin: r.Chain.Origin, Cohort: r.Chain.Cohort, Repeat: a.repeat,
		ObjectiveMs: uint32(r.Chain.Objective.Milliseconds()), Host: r.Host,
		Announcement: r.caller.latestAnnouncement(a.choice.Member.Addr), MayHandBack: a.mayHandBack,
	}
}

// sendAndBuffer sends the attempt and reads the answer into memory, up to the buffer
// size.
func (a *attempt) sendAndBuffer() *kernel.Answer {
	c := a.req.caller
	ans, err := c.k.Transport.Call(a.ctx, a.choice.Member.Addr, &kernel.Attempt{Head: a.head(), Body: a.req.Body})
	if err != nil {
		c.log.Debug("connect_failed", zap.String("request", a.req.Chain.RequestID), zap.String("member", a.choice.Member.Node), zap.Error(err))
		return &kernel.Answer{Result: call.Result{Outcome: call.Refused, Reason: call.ReasonConnect}}
	}
	if ans.Outcome != call.Answered {
		return ans
	}
	return bufferAnswer(a.ctx, ans, c.bufferBytes)
}

// withdrawIfLost asks the target to withdraw an attempt whose connection was lost.
// If the target confirms that the attempt never ran and never will, its outcome
// becomes refused.
func (a *attempt) withdrawIfLost(ans *kernel.Answer) {
	c := a.req.caller
	if ans.Outcome != call.Unknown || ans.Reason != call.ReasonConnLost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	neverRan, err := c.k.Transport.Withdraw(ctx, a.choice.Member.Addr, a.choice.Member.Node, a.id)
	c.log.Info("withdraw", zap.String("request", a.req.Chain.RequestID), zap.String("attempt", a.id.String()), zap.String("member", a.choice.Member.Node),
		zap.Bool("never_ran", neverRan), zap.Error(err))
	if err == nil && neverRan {
		ans.Outcome = call.Refused
		ans.Reason = call.ReasonWithdrawn
	}
}

// settleRetries returns the unspent part of the retry allowance that was handed over
// with the attempt, or forfeits it if the answer was lost.
func (a *attempt) settleRetries(ans *kernel.Answer) {
	switch {
	case a.share == nil:
	case ans.Trailer != nil && ans.Trailer.Done:
		a.share.Return(ans.Trailer.RetriesLeft)
	case ans.Outcome == call.Refused:
		// The attempt did not run, so none of its allowance was spent.
		a.share.Return(a.grantedRetries)
	default:
		a.req.caller.metrics.retriesForfeited.Inc(int64(a.grantedRetries))
		a.share.Forfeit()
	}
}
