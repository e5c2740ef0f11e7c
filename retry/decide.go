package retry

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Config sets the delays between the attempts of one call.
type Config struct {
	// BaseBackoff is the upper end of the delay before the first retry; it doubles
	// with each further one. A higher value spreads retries more and costs latency.
	BaseBackoff time.Duration

	// MaxBackoff is the upper end of any delay that the backoff gives.
	MaxBackoff time.Duration

	// MaxRetryAfter is the longest wait asked for by the target that is waited out
	// here. A longer one is passed on to the caller as a final refusal, which frees
	// the request's place at this node.
	MaxRetryAfter time.Duration

	// FreeRefusals says that a retry after a refusal by a node needs no budget,
	// because no backend server has got the request, and is sent at once, because
	// it goes to another member. The allowance of the chain bounds it.
	FreeRefusals bool
}

// DefaultConfig returns delays for calls within one region.
func DefaultConfig() Config {
	return Config{
		BaseBackoff:   10 * time.Millisecond,
		MaxBackoff:    200 * time.Millisecond,
		MaxRetryAfter: 250 * time.Millisecond,
	}
}

// Rules that Decide names.
const (
	RuleRetry         = "retry"          // send again after Delay
	RuleAnswered      = "answered"       // there is nothing to retry
	RuleFinalReason   = "final_reason"   // another attempt would end the same way
	RuleNotIdempotent = "not_idempotent" // it may have run and must not run twice
	RuleRetryAfter    = "retry_after"    // the target asked for a long wait
	RuleTimeLeft      = "time_left"      // the deadline does not hold another attempt
	RuleAllowance     = "allowance"      // the chain has no retry left
	RuleBudget        = "budget"         // successes of the service do not pay for it
)

// Decision is the answer of Decide.
type Decision struct {
	Retry bool
	Delay time.Duration // wait before the next attempt
	Rule  string        // why, one of the Rule constants
}

// Decide says whether a call whose last attempt ended with res is sent again.
// attempt is the number of attempts made, from 1; timeLeft is the time to the
// deadline; expected is how long another attempt takes. A positive decision has
// spent one retry of share and one of b; a negative one has spent none. The
// delay follows "full jitter" in Brooker, Exponential Backoff And Jitter, 2015.
func Decide(cfg Config, res call.Result, idempotent bool, attempt int, timeLeft, expected time.Duration,
	share *Share, b *Budget, rng *rand.Rand, now time.Time) Decision {
	if rule := finalRule(res, idempotent); rule != "" {
		return Decision{Rule: rule}
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
	if !free && !exempt(res) && !b.Withdraw(now) {
		share.untake()
		return Decision{Rule: RuleBudget}
	}
	return Decision{Retry: true, Delay: delay, Rule: RuleRetry}
}

// exempt reports whether a retry needs no budget. A leaving member refuses all
// that it had queued at once, without having worked for it; sending these calls
// to other members adds no load to the service.
func exempt(res call.Result) bool {
	return res.Outcome == call.Refused && res.Reason == call.ReasonLeaving
}

// refusedByNode reports whether a node refused the request before any backend
// server got it.
func refusedByNode(res call.Result) bool {
	return res.Outcome == call.Refused && res.Reason != call.ReasonShed && res.Reason != call.ReasonMisdirected
}

// finalRule returns why res is final, or "" if it may be retried.
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

// otherMemberMayServe reports whether a refusal for that reason concerns the
// refusing member alone.
func otherMemberMayServe(r call.Reason) bool {
	switch r {
	case call.ReasonQueueFull, call.ReasonDeadline, call.ReasonLeaving, call.ReasonShed,
		call.ReasonConnect, call.ReasonConnLost, call.ReasonWithdrawn, call.ReasonMisdirected:
		return true
	}
	return false
}

// backoff returns a random delay below a bound that doubles with each attempt.
// After a refusal by a leaving member there is none, because the next attempt
// goes to another member and no load has to fall.
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
