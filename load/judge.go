package load

import (
	"errors"
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

// Verdict is how one attempt ended, as its client sees it.
type Verdict uint8

// Verdicts.
const (
	Whole   Verdict = iota // the complete answer to this request, in time
	Late                   // the complete answer, after the timeout
	Refused                // told that it ran nowhere
	Unknown                // told that it may have run, or no answer
	Failed                 // answered with another status than 200
	Wrong                  // 200 with a broken body or another request's

	numVerdicts = 6
)

// outcomeHeader names how a call ended; nodes set it on refusals and unknown
// outcomes.
const (
	outcomeHeader = "Dogwoodhatch-Outcome"
	reasonHeader  = "Dogwoodhatch-Reason"
)

// reply is what a client has read of an answer.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	err     error // of the connection or of reading the body
	expired bool  // the client gave up waiting
}

// ending returns the outcome and the reason that a node told, as
// "refused/queue_full", or "" for an answer.
func (r reply) ending() string {
	outcome, reason := r.header.Get(outcomeHeader), r.header.Get(reasonHeader)
	if reason == "" {
		return ""
	}
	return outcome + "/" + reason
}

// judge returns the verdict on the reply to the request of the given id,
// without regard to time, and whether the connection cut it off.
func judge(id string, direct bool, r reply) (v Verdict, cut bool) {
	if r.err != nil {
		return Unknown, !r.expired
	}
	switch r.header.Get(outcomeHeader) {
	case call.Refused.String():
		return Refused, false
	case call.Unknown.String():
		return Unknown, cutReason(r.header.Get(reasonHeader))
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

// cutReason reports whether an unknown outcome comes from a lost connection.
func cutReason(reason string) bool {
	return reason == string(call.ReasonConnLost) || reason == string(call.ReasonTruncated)
}

var errForeignHeader = errors.New("the answer's header names another request")

func checkAnswer(id string, r reply) error {
	if got := r.header.Get(backend.RequestIDHeader); got != id {
		return errForeignHeader
	}
	return payload.Check(id, r.body)
}
