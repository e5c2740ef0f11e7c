package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/admission"
	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// attempt is one attempt on its way through the target.
type attempt struct {
	t         *target
	id        call.ID
	head      *wire.CallHead
	body      []byte
	deadline  time.Time
	allowance *retry.Allowance
	ctrl      *admission.Controller
	ticket    *admission.Ticket
	decided   chan admission.Action
	backend   kernel.BackendInfo
	began     time.Time // when the backend server got the call
}

// Serve implements kernel.Target.
func (t *target) Serve(ctx context.Context, head *wire.CallHead, body []byte, w kernel.AnswerWriter) call.Result {
	// Counted in also while leaving: the refusal itself must still be sent.
	t.k.Drain.ForceEnter()
	defer t.k.Drain.Exit()
	now := time.Now()
	id, err := call.ParseID(head.GetAttemptId())
	if err != nil {
		return t.ending(head, call.Result{Outcome: call.Refused, Reason: call.ReasonBadRequest}, now)
	}
	a := &attempt{
		t: t, id: id, head: head, body: body,
		deadline:  now.Add(time.Duration(head.GetTimeoutMs()) * time.Millisecond),
		allowance: retry.NewAllowance(int(head.GetRetries())),
		decided:   make(chan admission.Action, 1),
	}
	res, admitted := a.admit(ctx, now)
	if admitted {
		res = a.execute(ctx, w)
	}
	res.RetriesLeft = a.allowance.Settle()
	res.Pressure = a.pressure()
	return t.ending(head, res, now)
}

// ending counts and logs how the attempt ended.
func (t *target) ending(head *wire.CallHead, res call.Result, began time.Time) call.Result {
	switch res.Outcome {
	case call.Answered:
		t.answered.Mark(1)
	case call.Refused:
		t.refused.Mark(1)
	default:
		t.unknown.Mark(1)
	}
	notable := res.Outcome != call.Answered || res.Status >= http.StatusInternalServerError
	if t.k.Sampler.Keep(notable, head.GetCohort()) {
		t.log.Info("attempt", zap.String("request", head.GetRequestId()), zap.String("service", head.GetService()), zap.String("class", head.GetClass()),
			zap.String("from", head.GetSourceNode()), zap.Uint32("priority", head.GetPriority()), zap.Stringer("outcome", res.Outcome),
			zap.String("reason", string(res.Reason)), zap.Int("status", res.Status), zap.Int("limit", res.Pressure.Limit),
			zap.Int("in_flight", res.Pressure.InFlight), zap.Int("queued", res.Pressure.Queued), zap.Duration("told_wait", res.Pressure.QueueDelay),
			zap.Duration("took", time.Since(began)), zap.Uint32("timeout_ms", head.GetTimeoutMs()))
	}
	return res
}

// admit registers the attempt and waits until it may run. When it reports
// false, the result is final and nothing ran.
func (a *attempt) admit(ctx context.Context, now time.Time) (call.Result, bool) {
	res, done := a.offer(now)
	if done {
		return res, false
	}
	select {
	case act := <-a.decided:
		return a.decision(act)
	case <-ctx.Done():
		return a.abandon(ctx)
	}
}

// offer registers the attempt and offers it to the admission controller. A
// verdict to run at once is delivered like any other.
func (a *attempt) offer(now time.Time) (call.Result, bool) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.registry.Begin(a.id, now) {
	case execution.Duplicate:
		// The first copy may be running, so this copy proves nothing.
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonDuplicate}, true
	case execution.Withdrawn:
		return refused(call.ReasonWithdrawn, 0), true
	case execution.Full:
		return refused(call.ReasonQueueFull, 0), true
	}
	if t.leaving || !t.up || t.backend.Service != a.head.GetService() {
		t.registry.Refused(a.id, now)
		return refused(call.ReasonLeaving, 0), true
	}
	a.backend = t.backend
	a.ctrl = t.ctrl
	a.ticket = &admission.Ticket{
		Class: a.head.GetClass(), Priority: call.Priority(min(a.head.GetPriority(), call.NumPriorities-1)),
		Deadline: a.deadline, Data: a.decided,
	}
	verdict, displaced := a.ctrl.Offer(a.ticket, now)
	t.deliver(displaced)
	switch verdict.Kind {
	case admission.Queued:
		t.queued()
	case admission.Run:
		a.decided <- admission.Action{Ticket: a.ticket, Start: true}
	case admission.Refused:
		t.registry.Refused(a.id, now)
		return refused(verdict.Reason, verdict.RetryAfter), true
	}
	return call.Result{}, false
}

func refused(reason call.Reason, after time.Duration) call.Result {
	return call.Result{Outcome: call.Refused, Reason: reason, RetryAfter: after}
}

func (a *attempt) decision(act admission.Action) (call.Result, bool) {
	if act.Start {
		return call.Result{}, true
	}
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.registry.Refused(a.id, time.Now())
	return refused(act.Reason, act.RetryAfter), false
}

// abandon takes the attempt out of the queue because its source has gone or
// its deadline has passed. It may have been decided on in the meantime.
func (a *attempt) abandon(ctx context.Context) (call.Result, bool) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	now := time.Now()
	a.t.registry.Refused(a.id, now)
	select {
	case act := <-a.decided:
		if act.Start {
			a.t.deliver(a.ctrl.Done(a.ticket, admission.Sample{Canceled: true}, now))
		}
	default:
		a.t.deliver(a.ctrl.Cancel(a.ticket, now))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refused(call.ReasonDeadline, 0), false
	}
	return refused(call.ReasonCanceled, 0), false
}

// execute passes the attempt to the backend server and its answer to w.
func (a *attempt) execute(ctx context.Context, w kernel.AnswerWriter) call.Result {
	token, ok := a.start()
	if !ok {
		a.finish(admission.Sample{Canceled: true})
		return refused(call.ReasonWithdrawn, 0)
	}
	res, sample := a.exchange(ctx, token, w)
	res.Latency = time.Since(a.began)
	sample.Latency = res.Latency
	a.end(token, res)
	a.finish(sample)
	return res
}

// start marks the attempt as begun, from when on it cannot be withdrawn, and
// makes its execution known to sub-calls.
func (a *attempt) start() (string, bool) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	a.began = time.Now()
	if !t.registry.Started(a.id, a.began) {
		return "", false
	}
	token := call.NewID().String()
	chain := a.chainID()
	e := &kernel.Execution{
		Allowance: a.allowance,
		Chain: call.Chain{
			ID: chain, Class: a.head.GetClass(), Priority: call.Priority(a.head.GetPriority()),
			Idempotent: a.head.GetIdempotent(), Deadline: a.deadline, Depth: int(a.head.GetDepth()),
			RequestID: a.head.GetRequestId(), Origin: a.head.GetOrigin(), Cohort: a.head.GetCohort(), Repeat: a.head.GetRepeat(),
		},
	}
	t.running[token] = e
	if e.Chain.RequestID != "" {
		t.requests[e.Chain.RequestID] = e
	}
	return token, true
}

// chainID returns the identity of the chain. A call that its caller has named
// carries none.
func (a *attempt) chainID() call.ID {
	if len(a.head.GetChainId()) == 0 {
		return call.NewID()
	}
	id, err := call.ParseID(a.head.GetChainId())
	if err != nil {
		a.t.log.Warn("chain_id_malformed", zap.String("request", a.head.GetRequestId()), zap.Error(err))
		return call.NewID()
	}
	return id
}

func (a *attempt) end(token string, res call.Result) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, token)
	delete(t.requests, a.head.GetRequestId())
	if res.Outcome == call.Refused {
		t.registry.Refused(a.id, time.Now())
		return
	}
	t.registry.Finish(a.id, time.Now())
}

func (a *attempt) finish(s admission.Sample) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.deliver(a.ctrl.Done(a.ticket, s, time.Now()))
}

func (a *attempt) pressure() call.Pressure {
	if a.ctrl == nil {
		return call.Pressure{AdmitPriority: call.NumPriorities - 1}
	}
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	return a.ctrl.Pressure(time.Now())
}

// exchange sends the request and copies the answer.
func (a *attempt) exchange(ctx context.Context, token string, w kernel.AnswerWriter) (call.Result, admission.Sample) {
	resp, sent, err := a.t.k.Backend.Do(ctx, a.backend.Address, &kernel.BackendRequest{
		Method: a.head.GetMethod(), Target: a.head.GetTarget(), Host: host(a.head),
		Header: peer.DecodeHeader(a.head.GetHeaders()), Body: a.body,
		TimeoutMS: time.Until(a.deadline).Milliseconds(), Token: token, RequestID: a.head.GetRequestId(),
		Instance: a.backend.Instance, Origin: a.head.GetOrigin(), Idempotent: a.head.GetIdempotent(),
		NewConnection: a.head.GetRepeat(),
	})
	if err != nil {
		return a.failed(ctx, sent, err)
	}
	defer resp.Body.Close()
	if resp.OtherInstance {
		a.t.replaced(a.backend)
		return refused(call.ReasonMisdirected, 0), admission.Sample{Canceled: true}
	}
	if resp.NotRun {
		return refused(call.ReasonShed, 0), admission.Sample{Shed: true}
	}
	if resp.Unproved {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonUnproved}, admission.Sample{Failed: true, Lost: true}
	}
	res := call.Result{Outcome: call.Answered, Status: resp.Status}
	if err := w.WriteHead(resp.Status, resp.Header, a.pressure()); err != nil {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonCanceled}, admission.Sample{Canceled: true}
	}
	// net/http reports a body that is shorter than its declared length.
	if _, err := bufpool.Copy(w, resp.Body); err != nil {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonTruncated}, admission.Sample{Failed: ctx.Err() == nil, Lost: ctx.Err() == nil, Canceled: ctx.Err() != nil}
	}
	return res, admission.Sample{Failed: resp.Status >= 500}
}

// host returns the host that the caller named, or the service.
func host(h *wire.CallHead) string {
	if name := h.GetHost(); name != "" {
		return name
	}
	return h.GetService()
}

// failed judges a call that got no answer. Only a call that never got a
// connection is known not to have run.
func (a *attempt) failed(ctx context.Context, sent bool, err error) (call.Result, admission.Sample) {
	a.t.log.Warn("backend_failed", zap.String("addr", a.backend.Address), zap.Bool("sent", sent), zap.Error(err))
	switch {
	case !sent:
		return refused(call.ReasonConnect, 0), admission.Sample{Failed: true, Lost: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonDeadline}, admission.Sample{Failed: true}
	case ctx.Err() != nil:
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonCanceled}, admission.Sample{Canceled: true}
	}
	return call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost}, admission.Sample{Failed: true, Lost: true}
}
