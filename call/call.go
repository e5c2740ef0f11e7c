// Package call holds the types that describe one call and how it ended. They
// are shared by the decision packages and the adapters around them.
package call

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// Priority orders classes by importance; 0 is the most important.
type Priority uint8

// Priorities in the order in which they are shed last to first.
const (
	PriorityCritical Priority = iota
	PriorityHigh
	PriorityNormal
	PriorityLow

	NumPriorities = 4
)

var priorityNames = [NumPriorities]string{"critical", "high", "normal", "low"}

// String returns the name used in profiles and logs.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// ParsePriority returns the priority of that name.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Outcome is how a call ended towards its caller.
type Outcome uint8

// The three kinds of ending.
const (
	Answered Outcome = iota + 1 // a whole answer
	Refused                     // proved to have run nowhere
	Unknown                     // may have run
)

// String returns the name used in headers and logs.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	}
	return "unset"
}

// Reason says why a call was refused or its outcome is unknown.
type Reason string

// Reasons of refusals and unknown outcomes.
const (
	ReasonNone        Reason = ""
	ReasonQueueFull   Reason = "queue_full"   // displaced or no room in the queue
	ReasonDeadline    Reason = "deadline"     // cannot finish before its deadline
	ReasonLeaving     Reason = "leaving"      // the target is shutting down
	ReasonNoMember    Reason = "no_member"    // no backend server is known for the service
	ReasonThrottled   Reason = "throttled"    // refused at the caller's side because the service is overloaded
	ReasonDuplicate   Reason = "duplicate"    // this attempt was received before
	ReasonWithdrawn   Reason = "withdrawn"    // the caller's node withdrew the attempt
	ReasonCanceled    Reason = "canceled"     // the caller has gone
	ReasonShed        Reason = "shed"         // the backend server shed the call before running it
	ReasonConnect     Reason = "connect"      // no connection could be opened
	ReasonConnLost    Reason = "conn_lost"    // the connection broke or went silent
	ReasonTruncated   Reason = "truncated"    // the answer broke off
	ReasonKeyHeld     Reason = "key_held"     // the idempotency key was submitted before
	ReasonKeyUnproved Reason = "key_unproved" // the idempotency key cannot be proved unused
	ReasonBadRequest  Reason = "bad_request"  // the request is malformed or too large
	ReasonNoState     Reason = "no_state"     // this node knows no desired state yet
	ReasonUnproved    Reason = "unproved"     // the backend server refused without proof that it did not run
	ReasonMisdirected Reason = "misdirected"  // another backend server has the address
)

// ID identifies an attempt, a chain or a submission.
type ID = uuid.UUID

// NewID returns a random ID. It is not secret.
func NewID() ID {
	var id ID
	binary.NativeEndian.PutUint64(id[:8], rand.Uint64())
	binary.NativeEndian.PutUint64(id[8:], rand.Uint64())
	return id
}

// ParseID reads the 16 bytes of an ID.
func ParseID(b []byte) (ID, error) {
	id, err := uuid.FromBytes(b)
	if err != nil {
		return ID{}, fmt.Errorf("identity of %d bytes instead of 16: %w", len(b), err)
	}
	return id, nil
}

// Chain is what travels with a request through its whole call chain.
type Chain struct {
	ID         ID
	Class      string
	Priority   Priority
	Idempotent bool          // whether a request that may have run can be sent again
	Deadline   time.Time     // on the local clock
	Depth      int           // hops from the first node
	RequestID  string        // that the caller gave this call; "" if none
	Origin     string        // service beside the node where the call began
	Cohort     uint32        // equal for all calls of the chain, spread evenly over chains
	Repeat     bool          // an earlier attempt of the chain may have run
	Objective  time.Duration // within which an answer is worth most; 0 if not set
	MaxSends   int           // backend servers that may get the call; 0 leaves it to the allowance
}

// Pressure is the load of one service at one node, told on every answer.
type Pressure struct {
	Limit         int           // concurrency limit
	InFlight      int           // calls being executed
	Queued        int           // calls waiting
	AdmitPriority Priority      // least important priority still admitted
	QueueDelay    time.Duration // expected wait of the least important admitted class
	ServiceTime   time.Duration // typical execution time
	Lost          float64       // part of the recent calls whose answer was lost
}

// Result is how one attempt ended, as the source node knows it.
type Result struct {
	Outcome     Outcome
	Reason      Reason
	Status      int           // HTTP status of an answer
	RetryAfter  time.Duration // when the target asked to come back
	RetriesLeft int           // retry allowance that came back unspent
	Pressure    Pressure      // zero if the target told none
	Latency     time.Duration
}
