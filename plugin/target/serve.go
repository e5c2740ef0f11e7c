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
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// attempt is the state of one attempt at the target node.
type attempt struct {
	t           *target
	id          call.ID
	head        *wire.CallHead
	body        []byte
	deadline    time.Time
	allowance   *retry.Allowance
	controller  *admission.Controller
	ticket      *admission.Ticket
	decided     chan admission.Action
	backend     kernel.BackendInfo
	start       membership.BackendStart // of backend
	fingerprint quarantine.Fingerprint
	permit      kernel.Permit
	startedAt   time.Time // when the call was passed to the backend server
	execution   *kernel.Execution
}

// Serve implements kernel.Target.
func (t *target) Serve(ctx context.Context, head *wire.CallHead, body []byte, w kernel.AnswerWriter) call.Result {
	// Attempts are counted during a graceful shutdown too, because a refusal must
	// still be sent.
	t.k.Drain.ForceEnter()
	defer t.k.Drain.Exit()
	now := time.Now()
	id, err := call.ParseID(head.GetAttemptId())
	if err != nil {
		return t.recordResult(head, nil, call.Result{Outcome: call.Refused, Reason: call.ReasonBadRequest}, now)
	}
	a := &attempt{
		t: t, id: id, head: head, body: body,
		deadline:    now.Add(time.Duration(head.GetTimeoutMs()) * time.Millisecond),
		allowance:   retry.NewAllowance(int(head.GetRetries())),
		decided:     make(chan admission.Action, 1),
		fingerprint: quarantine.NewFingerprint(head.GetOrigin(), head.GetMethod(), requestHost(head), head.GetTarget(), body),
	}
	res := a.run(ctx, w)
	res.RetriesLeft = a.allowance.Settle()
	res.Pressure = a.pressure()
	return t.recordResult(head, a, res, now)
}

// run executes the attempt if quarantine and admission control allow it.
func (a *attempt) run(ctx context.Context, w kernel.AnswerWriter) call.Result {
	permit, refusal := a.t.k.Quarantine.Admit(ctx, a.fingerprint, a.id.String(), a.deadline)
	if refusal.Outcome == call.Refused {
		return refusal
	}
	a.permit = permit
	res, admitted := a.admit(ctx, time.Now())
	if admitted {
		res = a.execute(ctx, w)
	}
	a.t.k.Quarantine.Return(a.fingerprint, permit, res.Outcome == call.Answered)
	return res
}

// recordResult counts the result of an attempt and logs it if the sampler keeps it. a is
// nil if the attempt was malformed.
func (t *target) recordResult(head *wire.CallHead, a *attempt, res call.Result, arrived time.Time) call.Result {
	switch res.Outcome {
	case call.Answered:
		t.answered.Mark(1)
	case call.Refused:
		t.refused.Mark(1)
		if res.Reason == call.ReasonHandedBack {
			t.handedBack.Inc(1)
		}
	default:
		t.unknown.Mark(1)
	}
	notable := res.Outcome != call.Answered || res.Status >= http.StatusInternalServerError
	if t.k.Sampler.Keep(notable, head.GetCohort()) {
		fields := []zap.Field{zap.String("request", head.GetRequestId()), zap.String("service", head.GetService()), zap.String("class", head.GetClass()),
			zap.String("from", head.GetSourceNode()), zap.Uint32("priority", head.GetPriority()), zap.Stringer("outcome", res.Outcome),
			zap.String("reason", string(res.Reason)), zap.Int("status", res.Status), zap.Bool("chain_refused", res.ChainRefused), zap.Int("limit", res.Pressure.Limit),
			zap.Int("in_flight", res.Pressure.InFlight), zap.Int("queued", res.Pressure.Queued), zap.Duration("told_wait", res.Pressure.QueueDelay), zap.Float64("pace", res.Pressure.Pace),
			zap.Duration("took", time.Since(arrived)), zap.Uint32("timeout_ms", head.GetTimeoutMs())}
		var fingerprint quarantine.Fingerprint
		overShare := false
		if a != nil {
			fingerprint = a.fingerprint
			overShare = a.ticket != nil && a.ticket.OverShare()
		}
		fields = append(fields, zap.Stringer("fingerprint", fingerprint))
		if head.GetTeam() != "" {
			fields = append(fields, zap.String("team", head.GetTeam()), zap.Bool("over_share", overShare))
		}
		t.log.Info("attempt", fields...)
	}
	return res
}

// admit registers the attempt and waits until it may run. If it reports false, the
// returned result is final and the attempt did not run.
func (a *attempt) admit(ctx context.Context, now time.Time) (call.Result, bool) {
	res, done := a.offer(now)
	if done {
		return res, false
	}
	select {
	case action := <-a.decided:
		return a.applyDecision(action)
	case <-ctx.Done():
		return a.cancelWaiting(ctx)
	}
}

// offer registers the attempt and offers it to the admission controller. An
// immediate admission is delivered through the decided channel, like a later one. If
// offer reports true, the returned result is final.
func (a *attempt) offer(now time.Time) (call.Result, bool) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.registry.Begin(a.id, now) {
	case execution.Duplicate:
		// The first copy may be running, so the outcome is unknown.
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonDuplicate}, true
	case execution.Withdrawn:
		return refused(call.ReasonWithdrawn, 0), true
	case execution.Full:
		return refused(call.ReasonQueueFull, 0), true
	}
	t.adopt(peer.DecodeAnnouncement(a.head.GetAnnouncement()), now)
	if t.leaving || !t.serving || t.backend.Service != a.head.GetService() {
		t.registry.Refuse(a.id, now)
		return refused(call.ReasonLeaving, 0), true
	}
	a.backend = t.backend
	a.start = t.currentStart()
	a.controller = t.controller
	a.ticket = &admission.Ticket{
		Class: a.head.GetClass(), Priority: call.Priority(min(a.head.GetPriority(), call.NumPriorities-1)),
		Deadline: a.deadline, Cohort: a.head.GetCohort(), Team: a.head.GetTeam(), Data: a.decided, MayHandBack: a.head.GetMayHandBack(),
	}
	verdict, displaced := a.controller.Offer(a.ticket, now)
	t.deliver(displaced)
	switch verdict.Kind {
	case admission.Queued:
		t.signalWaiting()
	case admission.Run:
		a.decided <- admission.Action{Ticket: a.ticket, Start: true}
	case admission.Refused:
		t.registry.Refuse(a.id, now)
		return refused(verdict.Reason, verdict.RetryAfter), true
	}
	return call.Result{}, false
}

func refused(reason call.Reason, retryAfter time.Duration) call.Result {
	return call.Result{Outcome: call.Refused, Reason: reason, RetryAfter: retryAfter}
}

// applyDecision applies the decision of the admission controller on a queued
// attempt.
func (a *attempt) applyDecision(action admission.Action) (call.Result, bool) {
	if action.Start {
		return call.Result{}, true
	}
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.registry.Refuse(a.id, time.Now())
	return refused(action.Reason, action.RetryAfter), false
}

// cancelWaiting removes the attempt from the queue because its source disconnected
// or its deadline passed. The controller may have decided on it in the meantime.
func (a *attempt) cancelWaiting(ctx context.Context) (call.Result, bool) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	now := time.Now()
	a.t.registry.Refuse(a.id, now)
	select {
	case action := <-a.decided:
		if action.Start {
			a.t.deliver(a.controller.Done(a.ticket, admission.Sample{Canceled: true}, now))
		}
	default:
		a.t.deliver(a.controller.Cancel(a.ticket, now))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refused(call.ReasonDeadline, 0), false
	}
	return refused(call.ReasonCanceled, 0), false
}

// execute passes the attempt to the backend server and its answer to w.
func (a *attempt) execute(ctx context.Context, w kernel.AnswerWriter) call.Result {
	token, ok := a.markStarted()
	if !ok {
		a.releaseSlot(admission.Sample{Canceled: true})
		return refused(call.ReasonWithdrawn, 0)
	}
	res, sample := a.callBackend(ctx, token, w)
	res.Latency = time.Since(a.startedAt)
	sample.Latency = res.Latency
	a.markEnded(token, res)
	a.releaseSlot(sample)
	return res
}

// markStarted marks the attempt as started, after which it cannot be withdrawn, and
// registers its execution so that sub-calls can find it. It returns the token of the
// execution, or false if the attempt was withdrawn.
func (a *attempt) markStarted() (string, bool) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	a.startedAt = time.Now()
	if !t.registry.Start(a.id, a.startedAt) {
		return "", false
	}
	t.started.Mark(1)
	token := call.NewID().String()
	chain := a.chainID()
	exec := &kernel.Execution{
		Allowance: a.allowance,
		Chain: call.Chain{
			ID: chain, Class: a.head.GetClass(), Priority: call.Priority(a.head.GetPriority()),
			Idempotent: a.head.GetIdempotent(), Deadline: a.deadline, Depth: int(a.head.GetDepth()),
			RequestID: a.head.GetRequestId(), Origin: a.head.GetOrigin(), Cohort: a.head.GetCohort(), Team: a.head.GetTeam(), Repeat: a.head.GetRepeat(),
		},
	}
	a.execution = exec
	t.addRunning(token, &running{Execution: exec, start: a.start, fingerprint: a.fingerprint, startedAt: a.startedAt, alone: a.permit.Alone})
	return token, true
}

// chainID returns the id of the chain. An attempt with the caller's request id
// carries no chain id and gets a new one.
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

// markEnded removes the execution and records in the registry whether the attempt
// ran.
func (a *attempt) markEnded(token string, res call.Result) {
	t := a.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRunning(token)
	if res.Outcome == call.Refused {
		t.registry.Refuse(a.id, time.Now())
		return
	}
	t.registry.Finish(a.id, time.Now())
}

// releaseSlot tells the admission controller that the attempt has ended.
func (a *attempt) releaseSlot(s admission.Sample) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.t.deliver(a.controller.Done(a.ticket, s, time.Now()))
}

// pressure returns the pressure at this node. Without an admission controller it
// reports that every priority is admitted.
func (a *attempt) pressure() call.Pressure {
	if a.controller == nil {
		return call.Pressure{AdmitPriority: call.NumPriorities - 1}
	}
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	p := a.controller.Pressure(time.Now())
	if a.start == a.t.currentStart() {
		p.Announced = a.t.announcement()
	}
	return p
}

// callBackend sends the request to the backend server and copies its answer to w.
func (a *attempt) callBackend(ctx context.Context, token string, w kernel.AnswerWriter) (call.Result, admission.Sample) {
	resp, sent, err := a.t.k.Backend.Do(ctx, a.backend.Address, &kernel.BackendRequest{
		Method: a.head.GetMethod(), Target: a.head.GetTarget(), Host: requestHost(a.head),
		Header: peer.DecodeHeader(a.head.GetHeaders()), Body: a.body,
		TimeoutMS: time.Until(a.deadline).Milliseconds(), Token: token, RequestID: a.head.GetRequestId(),
		Instance: a.backend.Instance, Origin: a.head.GetOrigin(), Team: a.head.GetTeam(), Idempotent: a.head.GetIdempotent(),
		NewConnection: a.head.GetRepeat(),
	})
	if err != nil {
		return a.classifyFailure(ctx, sent, err)
	}
	defer resp.Body.Close()
	if resp.OtherInstance {
		a.t.stopReplaced(a.backend)
		return refused(call.ReasonMisdirected, 0), admission.Sample{Canceled: true}
	}
	a.observe(&resp.BackendReport)
	if resp.NotRun {
		return refused(call.ReasonShed, 0), admission.Sample{Shed: true}
	}
	if resp.Unproved {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonUnproved}, admission.Sample{Failed: true, Lost: true}
	}
	res := call.Result{Outcome: call.Answered, Status: resp.Status}
	res.ChainRefused = resp.Status >= http.StatusInternalServerError && a.execution.CallRefused()
	head := res
	head.Pressure = a.pressure()
	if err := w.WriteHead(head, resp.Header); err != nil {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonCanceled}, admission.Sample{Canceled: true}
	}
	// net/http reports a body that is shorter than its declared length.
	if _, err := bufpool.Copy(w, resp.Body); err != nil {
		if ctx.Err() == nil {
			a.checkCrash()
		}
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonTruncated}, admission.Sample{Failed: ctx.Err() == nil, Lost: ctx.Err() == nil, Canceled: ctx.Err() != nil}
	}
	return res, admission.Sample{Failed: resp.Status >= 500}
}

// requestHost returns the host that the caller named, or the service if it named
// none.
func requestHost(h *wire.CallHead) string {
	if name := h.GetHost(); name != "" {
		return name
	}
	return h.GetService()
}

// classifyFailure returns the result of a call to the backend server that got no
// answer. Only a request that was not sent is known not to have run.
func (a *attempt) classifyFailure(ctx context.Context, sent bool, err error) (call.Result, admission.Sample) {
	a.t.log.Warn("backend_failed", zap.String("addr", a.backend.Address), zap.Bool("sent", sent), zap.Error(err))
	switch {
	case !sent:
		return refused(call.ReasonConnect, 0), admission.Sample{Failed: true, Lost: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonDeadline}, admission.Sample{Failed: true}
	case ctx.Err() != nil:
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonCanceled}, admission.Sample{Canceled: true}
	}
	if a.checkCrash() {
		return call.Result{Outcome: call.Unknown, Reason: call.ReasonCrashed}, admission.Sample{Failed: true, Lost: true}
	}
	return call.Result{Outcome: call.Unknown, Reason: call.ReasonConnLost}, admission.Sample{Failed: true, Lost: true}
}
