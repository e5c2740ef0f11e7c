package retry

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Config sets the delays between the attempts of one call.
type Config struct {
	// BaseBackoff is the upper bound of the delay before the first retry; it
	// doubles with each further one. A higher value spreads retries more but adds
	// latency.
	BaseBackoff time.Duration

	// MaxBackoff is the upper bound of every backoff delay.
	MaxBackoff time.Duration

	// MaxRetryAfter is the longest Retry-After time of a target for which this node
	// waits. A longer one is passed on to the caller as a final refusal, so that
	// the request does not occupy this node.
	MaxRetryAfter time.Duration

	// FreeRefusals makes a retry after a refusal by a node need no budget, because
	// no backend server received the request, and no delay, because it goes to
	// another member. Only the allowance of the chain then bounds these retries.
	FreeRefusals bool
}

// Call is what Decide needs to know of the call.
type Call struct {
	Idempotent bool
	// Preferred is set if the call may spend all of the budget: a request of a client, or
	// a critical call. Other calls may not spend the reserve.
	Preferred bool
}

// DefaultConfig returns delays for calls within one region.
func DefaultConfig() Config {
	return Config{
		BaseBackoff:   10 * time.Millisecond,
		MaxBackoff:    200 * time.Millisecond,
		MaxRetryAfter: 250 * time.Millisecond,
	}
}

// Values of Decision.Rule.
const (
	RuleRetry         = "retry"          // retry after Delay
	RuleHandedBack    = "handed_back"    // another member has room; costs no retry
	RuleAnswered      = "answered"       // the call was answered
	RuleFinalReason   = "final_reason"   // another attempt would end the same way
	RuleNotIdempotent = "not_idempotent" // the call may have run and must not run twice
	RuleRetryAfter    = "retry_after"    // the Retry-After time exceeds MaxRetryAfter
	RuleTimeLeft      = "time_left"      // another attempt would miss the deadline
	RuleAllowance     = "allowance"      // the chain has no retry left
	RuleBudget        = "budget"         // the budget of the service has no retry left
)

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	Delay time.Duration // wait before the next attempt
	Rule  string        // reason for the decision, one of the Rule constants
}

// Decide decides whether to retry a call whose last attempt ended with res.
// attempt is the number of attempts made, from 1; timeLeft is the time to the
// deadline; expected is the expected duration of another attempt. A positive
// decision has spent one retry of share and, unless the retry is exempt, one of b;
// a negative one has spent none. The delay follows "full jitter" in Brooker,
// Exponential Backoff And Jitter, 2015.
func Decide(cfg Config, res call.Result, c Call, attempt int, timeLeft, expected time.Duration,
	share *Share, b *Budget, rng *rand.Rand, now time.Time) Decision {
	if rule := finalRule(res, c.Idempotent); rule != "" {
		return Decision{Rule: rule}
	}
	if handedBack(res, attempt) {
		if expected >= timeLeft {
			return Decision{Rule: RuleTimeLeft}
		}
		return Decision{Retry: true, Rule: RuleHandedBack}
	}
	free := cfg.FreeRefusals && refusedByNode(res)
	var delay time.Duration
	if !free {
		if res.RetryAfter > cfg.MaxRetryAfter {
			return Decision{Rule: RuleRetryAfter}
		}
		delay = res.RetryAfter + backoff(cfg, res.Reason, attempt, rng)
	}
	if delay+max(expected, 0) >= timeLeft {
		return Decision{Rule: RuleTimeLeft}
	}
	if !share.Take() {
		return Decision{Rule: RuleAllowance}
	}
	if !free && !exemptFromBudget(res) && !b.Withdraw(c.Preferred, now) {
		share.refund()
		return Decision{Rule: RuleBudget}
	}
	return Decision{Retry: true, Delay: delay, Rule: RuleRetry}
}

// handedBack reports whether the target handed the first attempt back to be made at
// another member. No backend server received it, and it happens once for each call, so
// that it costs neither allowance nor budget nor a delay.
func handedBack(res call.Result, attempt int) bool {
	return attempt == 1 && res.Outcome == call.Refused && res.Reason == call.ReasonHandedBack
}

// exemptFromBudget reports whether a retry needs no budget. A leaving member
// refuses all queued calls at once. As it has executed none of them, retries at
// other members add no load to the service.
func exemptFromBudget(res call.Result) bool {
	return res.Outcome == call.Refused && res.Reason == call.ReasonLeaving
}

// refusedByNode reports whether a node refused the request before any backend
// server received it.
func refusedByNode(res call.Result) bool {
	return res.Outcome == call.Refused && res.Reason != call.ReasonShed && res.Reason != call.ReasonMisdirected
}

// finalRule returns the rule that forbids a retry after res, or "" if none does.
func finalRule(res call.Result, idempotent bool) string {
	switch res.Outcome {
	case call.Answered:
		return RuleAnswered
	case call.Refused:
		if !otherMemberMayServe(res.Reason) {
			return RuleFinalReason
		}
		return ""
	}
	if !idempotent {
		return RuleNotIdempotent
	}
	if res.Reason == call.ReasonCanceled {
		return RuleFinalReason
	}
	return ""
}

// otherMemberMayServe reports whether a refusal for this reason applies only to
// the member that refused.
func otherMemberMayServe(r call.Reason) bool {
	switch r {
	case call.ReasonQueueFull, call.ReasonDeadline, call.ReasonHandedBack, call.ReasonLeaving, call.ReasonShed,
		call.ReasonConnect, call.ReasonConnLost, call.ReasonWithdrawn, call.ReasonMisdirected, call.ReasonBodyRoom:
		return true
	}
	return false
}

// backoff returns a random delay below a bound that doubles with each attempt. It
// is 0 after a refusal by a leaving member: the refusal is no sign of overload,
// and the next attempt goes to another member.
func backoff(cfg Config, reason call.Reason, attempt int, rng *rand.Rand) time.Duration {
	if reason == call.ReasonLeaving {
		return 0
	}
	bound := cfg.BaseBackoff
	for range attempt - 1 {
		bound = min(2*bound, cfg.MaxBackoff)
	}
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
