package admission

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

func (c *Controller) refuseNew(t *Ticket, reason call.Reason, now time.Time) Verdict {
	a := c.refuse(t, reason, now)
	return Verdict{Kind: Refused, Reason: a.Reason, RetryAfter: a.RetryAfter}
}

// refuse returns the refusal of t, which must not be in the queue.
func (c *Controller) refuse(t *Ticket, reason call.Reason, now time.Time) Action {
	t.state = stateDone
	a := Action{Ticket: t, Reason: reason}
	if reason == call.ReasonHandedBack {
		return a // its priority is still admitted, and another member can run it at once
	}
	c.rates.refused[priorityIndex(t.Priority)].add(now)
	if reason != call.ReasonLeaving { // another member can run it without a wait
		a.RetryAfter = c.retryAfter(t.Priority, now)
	}
	return a
}

func (c *Controller) refuseAll(tickets []*Ticket, reason call.Reason, now time.Time) []Action {
	var actions []Action
	for _, t := range tickets {
		actions = append(actions, c.refuse(t, reason, now))
	}
	return actions
}

// retryAfter returns the time after which a refused caller may retry. It grows
// with the queue delay and with the ratio of offers to starts, so that the
// retries fit the capacity, and is jittered so that they do not come at once.
func (c *Controller) retryAfter(p call.Priority, now time.Time) time.Duration {
	base := c.cfg.MinRetryAfter + c.queueDelay(p, now)
	base = time.Duration(float64(base) * c.rates.offersPerStart(now))
	base = min(base, c.cfg.MaxRetryAfter)
	return time.Duration(float64(base) * (retryJitterMin + retryJitterSpread*c.rng.Float64()))
}
