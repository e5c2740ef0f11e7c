package entry

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/edge"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/backend"
)

// HeaderRequestID identifies a request in the logs; callers may set it.
const HeaderRequestID = "X-Request-Id"

// Response headers that tell the caller the outcome of its request.
const (
	HeaderOutcome    = "Dogwoodhatch-Outcome" // answered, refused or unknown
	HeaderReason     = "Dogwoodhatch-Reason"  // reason of a refusal or of an unknown outcome
	HeaderRetryAfter = "Dogwoodhatch-Retry-After-Ms"
)

// nodeHeaders are the headers that only a node may set.
var nodeHeaders = []string{HeaderOutcome, HeaderReason, HeaderRetryAfter, backend.HeaderTeam}

// defaultRetryAfter is sent when a refusal carries no retry time.
const defaultRetryAfter = time.Second

// writeResult writes the final answer to the caller.
func (e *entry) writeResult(w http.ResponseWriter, r *http.Request, req *kernel.Request, ans *kernel.Answer) {
	switch ans.Outcome {
	case call.Answered:
		e.writeAnswer(w, r, req, ans)
	case call.Refused:
		writeRefusal(w, ans.Reason, ans.RetryAfter)
	default:
		writeUnknown(w, ans.Reason)
	}
}

// writeAnswer copies the answer to the caller. If the body breaks off after the
// headers were sent, it aborts the connection, so that the caller cannot take a
// truncated answer for a complete one.
func (e *entry) writeAnswer(w http.ResponseWriter, r *http.Request, req *kernel.Request, ans *kernel.Answer) {
	err := edge.WriteAnswer(w, r, ans, func(h http.Header) {
		removeNodeHeaders(h)
		h.Set(HeaderOutcome, call.Answered.String())
	})
	if err != nil {
		e.log.Warn("answer_broke_off", zap.String("service", req.Service), zap.String("chain", req.Chain.ID.String()), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// writeRefusal tells the caller that its request did not run and when to retry.
func writeRefusal(w http.ResponseWriter, reason call.Reason, after time.Duration) {
	if after <= 0 {
		after = defaultRetryAfter
	}
	setOutcome(w, call.Refused, reason)
	w.Header().Set(HeaderRetryAfter, strconv.FormatInt(after.Milliseconds(), 10))
	w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	status := http.StatusServiceUnavailable
	if reason == call.ReasonQuota {
		status = http.StatusTooManyRequests
	}
	http.Error(w, "refused and not run ("+string(reason)+"); send it again after the time in Retry-After", status)
}

// writeUnknown tells the caller that its request may have run.
func writeUnknown(w http.ResponseWriter, reason call.Reason) {
	setOutcome(w, call.Unknown, reason)
	status := http.StatusBadGateway
	switch reason {
	case call.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case call.ReasonKeyHeld, call.ReasonKeyUnproved:
		status = http.StatusConflict
	}
	http.Error(w, "outcome unknown ("+string(reason)+"); the request may have run, read its effect before sending it again", status)
}

// writeBadRequest tells the caller that its request is malformed and did not run.
func writeBadRequest(w http.ResponseWriter, status int, text string) {
	setOutcome(w, call.Refused, call.ReasonBadRequest)
	http.Error(w, text, status)
}

func setOutcome(w http.ResponseWriter, o call.Outcome, reason call.Reason) {
	h := w.Header()
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderReason, string(reason))
}
