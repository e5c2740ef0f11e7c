// Package call defines the types that describe a call and its outcome. They are
// shared by the decision packages, which do no I/O, and the adapters around them.
package call

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// Priority is the importance of a class; 0 is the most important.
type Priority uint8

// Priorities, most important first. The least important are shed first.
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

// ParsePriority returns the priority with the given name.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Outcome is the result of a call as reported to its caller.
type Outcome uint8

// Outcomes of a call.
const (
	Answered Outcome = iota + 1 // answered completely
	Refused                     // proved not to have been executed anywhere
	Unknown                     // may have been executed
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
	ReasonQueueFull   Reason = "queue_full"   // displaced from the queue, or the queue is full
	ReasonDeadline    Reason = "deadline"     // cannot finish before its deadline
	ReasonHandedBack  Reason = "handed_back"  // would wait here longer than at another member
	ReasonLeaving     Reason = "leaving"      // the target is shutting down
	ReasonNoMember    Reason = "no_member"    // no backend server is known for the service
	ReasonThrottled   Reason = "throttled"    // refused at the caller's node because the service is overloaded
	ReasonDuplicate   Reason = "duplicate"    // this attempt was received before
	ReasonWithdrawn   Reason = "withdrawn"    // the caller's node withdrew the attempt
	ReasonCanceled    Reason = "canceled"     // the caller canceled the call or disconnected
	ReasonShed        Reason = "shed"         // the backend server shed the call before running it
	ReasonConnect     Reason = "connect"      // no connection could be opened
	ReasonConnLost    Reason = "conn_lost"    // the connection broke or stopped responding
	ReasonCrashed     Reason = "crashed"      // the backend server crashed while it executed the call
	ReasonSuspect     Reason = "suspect"      // backend servers crashed while they executed the same request, which runs once at a time now
	ReasonQuarantined Reason = "quarantined"  // the request crashes the backend servers that execute it
	ReasonTruncated   Reason = "truncated"    // the answer ended early
	ReasonKeyHeld     Reason = "key_held"     // the idempotency key was submitted before
	ReasonKeyUnproved Reason = "key_unproved" // the idempotency key cannot be proved unused
	ReasonBadRequest  Reason = "bad_request"  // the request is malformed or too large
	ReasonQuota       Reason = "quota"        // the team has used up its quota
	ReasonNoState     Reason = "no_state"     // this node has not received a desired state yet
	ReasonBodyRoom    Reason = "body_room"    // the node had no room for the body of the request in time
	ReasonHeadRoom    Reason = "head_room"    // the node had no room for the head of the request in time
	ReasonUnproved    Reason = "unproved"     // the backend server refused without proof that it did not run
	ReasonMisdirected Reason = "misdirected"  // the address now belongs to another backend server
)

// Reasons of refusals of requests that need an API key.
const (
	ReasonUnauthorized Reason = "unauthorized" // no team holds the key, or there is none
	ReasonStaleState   Reason = "stale_state"  // this node cannot prove that it knows the latest keys
	ReasonNoParent     Reason = "no_parent"    // the execution that made the sub-call is not running at this node
)

// ID identifies an attempt, a chain or a submission.
type ID = uuid.UUID

// NewID returns a random ID. IDs are not secret.
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
		return ID{}, fmt.Errorf("ID has %d bytes instead of 16: %w", len(b), err)
	}
	return id, nil
}

// Chain is the context that is passed along with a request through its call chain.
type Chain struct {
	ID         ID
	Class      string
	Priority   Priority
	Idempotent bool          // a request that may have been executed can be sent again
	Deadline   time.Time     // by the local clock
	Depth      int           // number of hops from the first node
	RequestID  string        // ID that the caller gave this call; "" if none
	Origin     string        // service beside the node where the call was made
	Team       string        // team on whose behalf the chain runs; "" if unknown
	Cohort     uint32        // hash for log sampling and for the order of chains under overload, the same for all calls of the chain
	Repeat     bool          // an earlier attempt of the chain may have been executed
	Objective  time.Duration // latency objective, within which an answer is worth most; 0 if not set
	MaxSends   int           // backend servers that may receive the call; 0 leaves the limit to the retry allowance
}

// Pressure is the load of one service at one node. It is reported with every answer.
type Pressure struct {
	Limit         int           // concurrency limit
	InFlight      int           // calls being executed
	Queued        int           // calls waiting
	AdmitPriority Priority      // least important priority still admitted
	QueueDelay    time.Duration // expected wait of a new call of priority AdmitPriority
	ServiceTime   time.Duration // typical execution time, at a pace of 1 if Pace is known
	Lost          float64       // fraction of recent calls whose answer was lost
	Pace          float64       // current execution time at the backend server as a multiple of the usual one; 0 if unknown
	Announced     Announcement  // by the backend server, zero unless notable
}

// Result is the result of one attempt as seen by the source node.
type Result struct {
	Outcome     Outcome
	Reason      Reason
	Status      int           // HTTP status of an answer
	RetryAfter  time.Duration // delay that the target asked for before a retry
	RetriesLeft int           // unused retry allowance that the target returned
	Pressure    Pressure      // zero if the target reported none
	Latency     time.Duration
	// ChainRefused is set on a failed answer if a sub-call of the execution was refused or
	// ran out of time.
	ChainRefused bool
}
