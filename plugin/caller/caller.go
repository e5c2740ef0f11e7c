package caller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/peer"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// withdrawTimeout bounds the request to the target to withdraw a lost attempt.
const withdrawTimeout = 300 * time.Millisecond

// caller implements kernel.Caller.
type caller struct {
	k           *kernel.Kernel
	log         *zap.Logger
	metrics     *requestMetrics
	bufferBytes int // largest answer that is buffered before it is passed on

	mu       sync.RWMutex
	services map[string]*service

	announcementsMu sync.Mutex
	announcements   lifecycle.Announcements
}

func newCaller(k *kernel.Kernel) *caller {
	return &caller{
		k: k, log: k.Log,
		bufferBytes: k.Settings.Limits.BufferBytes,
		metrics:     newRequestMetrics(k.Metrics),
		services:    map[string]*service{},
	}
}

// service returns the routing state towards the named service and creates it on
// first use.
func (c *caller) service(name string) *service {
	c.mu.RLock()
	s := c.services[name]
	c.mu.RUnlock()
	if s != nil {
		return s
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s = c.services[name]; s == nil {
		s = newService(name, c.k)
		c.services[name] = s
	}
	return s
}

// recordAnnouncement records what the backend server beside the node at addr announced.
func (c *caller) recordAnnouncement(addr string, p call.Pressure) {
	if p.Limit <= 0 {
		return // the answer reports nothing about the member
	}
	c.announcementsMu.Lock()
	defer c.announcementsMu.Unlock()
	c.announcements.Record(addr, p.Announced, time.Now())
}

// latestAnnouncement returns what the backend server beside the node at addr last
// announced, nil if nothing.
func (c *caller) latestAnnouncement(addr string) *wire.Announcement {
	c.announcementsMu.Lock()
	defer c.announcementsMu.Unlock()
	a, ok := c.announcements.Latest(addr, time.Now())
	if !ok {
		return nil
	}
	return peer.EncodeAnnouncement(a)
}

// request is the state of one request while it is being carried out.
type request struct {
	*kernel.Request
	caller *caller
	svc    *service
	share  *retry.Share

	mu             sync.Mutex // guards triedNodes, attempts and decisions, which a parallel attempt also changes
	triedNodes     []string
	attempts       int
	refusedForLoad bool           // the last attempt was refused for lack of time or capacity
	refusedForTime bool           // the last attempt was refused because its deadline was too close
	possibleSends  int            // attempts that may have reached a backend server
	unknownAnswer  *kernel.Answer // answer of an earlier attempt that may have run, nil if there is none
	handedBack     bool           // the first attempt was handed back
	claims         []claim
	decisions      decisionLog
}

// Do implements kernel.Caller.
func (c *caller) Do(ctx context.Context, req *kernel.Request) *kernel.Answer {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, req.Chain.Deadline)
	r := &request{Request: req, caller: c, svc: c.service(req.Service), share: req.Allowance.Share()}
	r.decisions.startedAt = start
	ans := r.run(ctx)
	r.share.Close()
	if ans.Outcome == call.Refused {
		r.releaseClaims()
	}
	if req.Parent != nil {
		req.Parent.RecordCall(ans.Result)
	}
	c.metrics.record(req.Service, req.Chain.Class, ans, time.Since(start))
	r.logDecisions(ans)
	if ans.Body == nil {
		cancel()
		return ans
	}
	ans.Body = &cancelBody{ReadCloser: ans.Body, cancel: cancel}
	return ans
}

// run makes attempts until one of them has the final outcome.
func (r *request) run(ctx context.Context) *kernel.Answer {
	if ans := r.claimKey(ctx); ans != nil {
		return ans
	}
	for {
		choice, refusal := r.pickMember()
		if refusal.Reason != call.ReasonNone {
			return r.finalAnswer(refusedAnswer(refusal))
		}
		ans := r.send(ctx, choice)
		if ans.Outcome == call.Answered {
			return ans
		}
		if ans.Outcome == call.Unknown {
			r.unknownAnswer = ans
			r.Chain.Repeat = true
		}
		r.refusedForTime = ans.Outcome == call.Refused && ans.Reason == call.ReasonDeadline
		r.refusedForLoad = ans.Outcome == call.Refused && (ans.Reason == call.ReasonDeadline || ans.Reason == call.ReasonQueueFull || ans.Reason == call.ReasonShed)
		r.handedBack = r.handedBack || ans.Outcome == call.Refused && ans.Reason == call.ReasonHandedBack
		expected := choice.Expected
		if r.refusedForLoad || r.handedBack {
			expected = 0 // another member may be faster than the one that refused
		}
		if !r.awaitRetry(ctx, ans, expected) {
			return r.finalAnswer(ans)
		}
	}
}

// largeBodyBytes is the size of a body from which a request stays in the caller's region.
// At 77,000 per GB, 16 KB between regions cost 1.26, and an answer earns 1 to 3.9.
const largeBodyBytes = 16 << 10

// pickMember chooses the target of the next attempt. Members already tried are
// excluded. Once no other member is left, all may be chosen again, except after a
// refusal for lack of time or capacity.
func (r *request) pickMember() (routing.Choice, routing.Refusal) {
	q := routing.Query{Priority: r.Chain.Priority, Cohort: r.Chain.Cohort, Team: r.Chain.Team, LargeBody: len(r.Body) >= largeBodyBytes, Deadline: r.Chain.Deadline, Exclude: r.triedNodes, AnyRegion: r.refusedForLoad, PreferOtherRegion: r.refusedForTime}
	choice, refusal := r.svc.pick(r.caller.k.Fleet, q)
	if refusal.Reason != call.ReasonNoMember || len(r.triedNodes) == 0 || r.refusedForLoad {
		return choice, refusal
	}
	r.triedNodes = nil
	q.Exclude = nil
	return r.svc.pick(r.caller.k.Fleet, q)
}

func refusedAnswer(f routing.Refusal) *kernel.Answer {
	return &kernel.Answer{Result: call.Result{Outcome: call.Refused, Reason: f.Reason, RetryAfter: f.RetryAfter}}
}

// finalAnswer replaces a refusal by the unknown outcome of an earlier attempt, since
// that attempt may have run.
func (r *request) finalAnswer(ans *kernel.Answer) *kernel.Answer {
	if ans.Outcome == call.Refused && r.unknownAnswer != nil {
		return r.unknownAnswer
	}
	return ans
}

// canSendToBackend reports whether MaxSends allows the request to reach another
// backend server.
func (r *request) canSendToBackend() bool {
	return r.Chain.MaxSends == 0 || r.possibleSends < r.Chain.MaxSends
}

// retryCall returns what a retry decision needs to know of the request.
func (r *request) retryCall() retry.Call {
	return retry.Call{Idempotent: r.Chain.Idempotent, Preferred: r.FromClient || r.Chain.Priority == call.PriorityCritical}
}

// maxLoadRetries returns how often a request is retried after members refused it for
// lack of time or capacity. Each retry costs the nodes and the links between them,
// which matters most when all members are overloaded.
func maxLoadRetries(p call.Priority) int {
	if p <= call.PriorityHigh {
		return 3
	}
	return 1
}

// loadAttempts returns the number of attempts without the one that was handed back.
func (r *request) loadAttempts() int {
	if r.handedBack {
		return r.attempts - 1
	}
	return r.attempts
}

// awaitRetry decides whether to make another attempt and waits for the backoff. It
// reports false if no other attempt is to be made.
func (r *request) awaitRetry(ctx context.Context, ans *kernel.Answer, expected time.Duration) bool {
	if !r.canSendToBackend() || r.refusedForLoad && r.loadAttempts() > maxLoadRetries(r.Chain.Priority) {
		return false
	}
	d := r.svc.decideRetry(ans.Result, r.retryCall(), r.attempts, time.Until(r.Chain.Deadline), expected, r.share)
	r.decisions.recordRetry(d, ans.Result)
	if !d.Retry {
		return false
	}
	if d.Rule != retry.RuleHandedBack {
		r.caller.metrics.retriesSpent.Inc(1)
	}
	wait := time.NewTimer(d.Delay)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}
