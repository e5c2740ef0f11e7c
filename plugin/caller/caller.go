package caller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
)

// withdrawTimeout bounds the question whether a lost attempt ran.
const withdrawTimeout = 300 * time.Millisecond

// caller is the plug-in.
type caller struct {
	k      *kernel.Kernel
	log    *zap.Logger
	meters *meters
	buffer int // bytes of an answer held until it is whole

	mu       sync.RWMutex
	services map[string]*service
}

func newCaller(k *kernel.Kernel) *caller {
	return &caller{
		k: k, log: k.Log,
		buffer:   k.Settings.Limits.BufferBytes,
		meters:   newMeters(k.Metrics),
		services: map[string]*service{},
	}
}

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

// request is one request on its way.
type request struct {
	*kernel.Request
	c     *caller
	s     *service
	share *retry.Share

	mu       sync.Mutex // an attempt beside another one changes tried, attempts and story
	tried    []string
	attempts int
	crowded  bool           // the last attempt was refused for want of time or room
	slow     bool           // it was refused for want of time
	reached  int            // attempts that may have reached a backend server
	unknown  *kernel.Answer // an earlier attempt that may have run
	claims   []claim
	story    story
}

// Do implements kernel.Caller.
func (c *caller) Do(ctx context.Context, req *kernel.Request) *kernel.Answer {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, req.Chain.Deadline)
	r := &request{Request: req, c: c, s: c.service(req.Service), share: req.Allowance.Share()}
	r.story.began = began
	ans := r.run(ctx)
	r.share.Close()
	if ans.Outcome == call.Refused {
		r.releaseClaims()
	}
	c.meters.count(req.Service, req.Chain.Class, ans, time.Since(began))
	r.tell(ans)
	if ans.Body == nil {
		cancel()
		return ans
	}
	ans.Body = &cancelBody{ReadCloser: ans.Body, cancel: cancel}
	return ans
}

// run makes attempts until one ending is final.
func (r *request) run(ctx context.Context) *kernel.Answer {
	if ans := r.claim(ctx); ans != nil {
		return ans
	}
	for {
		choice, refusal := r.pick()
		if refusal.Reason != call.ReasonNone {
			return r.final(refusedAnswer(refusal))
		}
		ans := r.send(ctx, choice)
		if ans.Outcome == call.Answered {
			return ans
		}
		if ans.Outcome == call.Unknown {
			r.unknown = ans
			r.Chain.Repeat = true
		}
		r.slow = ans.Outcome == call.Refused && ans.Reason == call.ReasonDeadline
		r.crowded = ans.Outcome == call.Refused && (ans.Reason == call.ReasonDeadline || ans.Reason == call.ReasonQueueFull || ans.Reason == call.ReasonShed)
		expected := choice.Expected
		if r.crowded {
			expected = 0 // another member may have the time that this one lacks
		}
		if !r.retry(ctx, ans, expected) {
			return r.final(ans)
		}
	}
}

// pick chooses the target of the next attempt: a member that was not tried
// yet, or any member once all were tried.
func (r *request) pick() (routing.Choice, routing.Refusal) {
	q := routing.Query{Priority: r.Chain.Priority, Deadline: r.Chain.Deadline, Exclude: r.tried, AnyRegion: r.crowded, PreferOtherRegion: r.slow}
	choice, refusal := r.s.pick(r.c.k.Fleet, q)
	if refusal.Reason != call.ReasonNoMember || len(r.tried) == 0 || r.crowded {
		return choice, refusal
	}
	r.tried = nil
	q.Exclude = nil
	return r.s.pick(r.c.k.Fleet, q)
}

func refusedAnswer(f routing.Refusal) *kernel.Answer {
	return &kernel.Answer{Result: call.Result{Outcome: call.Refused, Reason: f.Reason, RetryAfter: f.RetryAfter}}
}

// final turns a refusal into an unknown outcome when an earlier attempt may
// have run.
func (r *request) final(ans *kernel.Answer) *kernel.Answer {
	if ans.Outcome == call.Refused && r.unknown != nil {
		return r.unknown
	}
	return ans
}

// mayReach reports whether another backend server may get the request.
func (r *request) mayReach() bool {
	return r.Chain.MaxSends == 0 || r.reached < r.Chain.MaxSends
}

// crowdedRetries returns how often a call is sent again after members had no time
// or room for it. Each try costs the nodes and the links between them, most of all
// when everything is full.
func crowdedRetries(p call.Priority) int {
	if p <= call.PriorityHigh {
		return 3
	}
	return 1
}

// retry decides about another attempt and waits the backoff.
func (r *request) retry(ctx context.Context, ans *kernel.Answer, expected time.Duration) bool {
	if !r.mayReach() || r.crowded && r.attempts > crowdedRetries(r.Chain.Priority) {
		return false
	}
	d := r.s.decide(ans.Result, r.Chain.Idempotent, r.attempts, time.Until(r.Chain.Deadline), expected, r.share)
	r.story.retried(d, ans.Result)
	if !d.Retry {
		return false
	}
	r.c.meters.retries.Inc(1)
	wait := time.NewTimer(d.Delay)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}
