package load

import (
	"errors"
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/httphead"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

// Verdict classifies how an attempt ended, as seen by its client.
type Verdict uint8

// Verdicts.
const (
	Whole   Verdict = iota // the complete answer to this request, in time
	Late                   // the complete answer, after the timeout
	Refused                // refused; it ran nowhere
	Unknown                // outcome unknown or no answer; it may have run
	Failed                 // answered with a status other than 200
	Wrong                  // status 200, but the answer is corrupt or belongs to another request

	numVerdicts = 6
)

// Headers that a node sets if it refuses a call or if the outcome is unknown.
const (
	outcomeHeader = "Dogwoodhatch-Outcome"
	reasonHeader  = "Dogwoodhatch-Reason"
)

// reply is the answer to an attempt as far as the client has read it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	err     error // from the exchange or from reading the body
	expired bool  // the client stopped waiting
}

// ending returns the outcome and the reason set by a node, such as
// "refused/queue_full". It returns "" if the node set no reason.
func (r reply) ending() string {
	outcome, reason := r.header.Get(outcomeHeader), r.header.Get(reasonHeader)
	if reason == "" {
		return ""
	}
	return outcome + "/" + reason
}

// classify returns the verdict on the reply to the attempt with the given ID, and
// whether its connection was lost. It does not check whether the answer was late.
func classify(id string, direct bool, r reply) (v Verdict, cut bool) {
	if r.err != nil {
		return Unknown, !r.expired
	}
	switch r.header.Get(outcomeHeader) {
	case call.Refused.String():
		return Refused, false
	case call.Unknown.String():
		return Unknown, isConnectionLoss(r.header.Get(reasonHeader))
	}
	if direct && r.header.Get(backend.ShedHeader) == "1" {
		return Refused, false
	}
	if r.status != http.StatusOK {
		return Failed, false
	}
	if err := checkAnswer(id, r); err != nil {
		return Wrong, false
	}
	return Whole, false
}

// isConnectionLoss reports whether the reason of an unknown outcome is a lost
// connection.
func isConnectionLoss(reason string) bool {
	return reason == string(call.ReasonConnLost) || reason == string(call.ReasonCrashed) || reason == string(call.ReasonTruncated)
}

var errForeignHeader = errors.New("the id in the X-Request-Id header belongs to another request")

// errHeaderName reports an answer with a line that is no header line, which no program may
// pass on.
var errHeaderName = errors.New("the answer has a malformed header name")

// checkAnswer returns an error unless the header and the body belong to the
// request with the given ID and the body is complete.
func checkAnswer(id string, r reply) error {
	for name := range r.header {
		if !httphead.ValidName(name) {
			return errHeaderName
		}
	}
	if got := r.header.Get(backend.RequestIDHeader); got != id {
		return errForeignHeader
	}
	return payload.Check(id, r.body)
}
