package kernel

import (
	"context"
	"io"
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Policies gives the profiles in force. Safe for concurrent use.
type Policies interface {
	Snapshot() *profile.Snapshot
	// Highest returns the highest store revision that this node has learned.
	Highest() uint64
	// Learn takes a record that the store accepted and spreads it.
	Learn(key string, revision uint64, value []byte)
}

// Fleet gives the known members. Safe for concurrent use.
type Fleet interface {
	// Version rises with each change of the membership.
	Version() uint64
	// Members returns the members that announced the service; the slice must not be changed.
	Members(service string) []membership.Member
	// All returns every known member; the slice must not be changed.
	All() []membership.Member
	// Lookup returns a member by its id. It must be called on the control
	// goroutine.
	Lookup(id string) (membership.Member, bool)
	// Announce tells the fleet which service the backend server beside this
	// node runs; "" withdraws the announcement.
	Announce(service string)
	// Join adds first contacts, as gossip addresses. It must be called on the
	// control goroutine.
	Join(contacts []string)
	// Leave tells the fleet that this node is shutting down.
	Leave()
}

// Request is a call on the caller's side.
type Request struct {
	Service        string
	Method         string
	Target         string // path and query
	Header         http.Header
	Body           []byte
	Chain          call.Chain
	Allowance      *retry.Allowance
	IdempotencyKey string
}

// Answer is the final ending of a Request. Body is closed by the receiver; a
// read error other than io.EOF means that the answer broke off.
type Answer struct {
	call.Result
	Header  http.Header
	Body    io.ReadCloser // nil unless answered
	Length  int64         // of the body, -1 if not known
	Trailer *Trailer      // complete once Body returned io.EOF or the answer was refused
}

// Trailer holds what arrives behind the body of an answer.
type Trailer struct {
	Done        bool // the end of the answer arrived
	RetriesLeft int  // unspent retry allowance that came back
}

// Caller carries out requests: throttling, routing, retries.
type Caller interface {
	Do(ctx context.Context, req *Request) *Answer
}

// Attempt is one try of a call at one target node, on the side of the source.
type Attempt struct {
	Head *wire.CallHead
	Body []byte
}

// Transport reaches other nodes.
type Transport interface {
	// Call sends an attempt. The error is of kind Unavailable when nothing was
	// sent; any later fault is told by the answer.
	Call(ctx context.Context, addr string, a *Attempt) (*Answer, error)
	// Withdraw asks the node to promise that the attempt never starts.
	Withdraw(ctx context.Context, addr string, attempt call.ID) (neverRan bool, err error)
	// Claim records an idempotency key at a holder.
	Claim(ctx context.Context, addr string, c *wire.Claim) (*wire.ClaimReply, error)
	// Release gives a claim back.
	Release(ctx context.Context, addr string, r *wire.Release) error
	// Exchange sends a request of the control state and returns the reply.
	Exchange(ctx context.Context, addr, topic string, payload []byte) ([]byte, error)
}

// AnswerWriter receives the answer of a Target. WriteHead is called once, then
// Write any number of times; the ending is what Serve returns.
type AnswerWriter interface {
	WriteHead(status int, h http.Header, p call.Pressure) error
	io.Writer
}

// Target executes attempts at the backend server beside this node.
type Target interface {
	// Serve executes one attempt. ctx is cancelled when the source has gone.
	Serve(ctx context.Context, head *wire.CallHead, body []byte, w AnswerWriter) call.Result
	Withdraw(attempt call.ID) (neverRan bool)
	Claim(c *wire.Claim) *wire.ClaimReply
	Release(r *wire.Release)
	// Announce starts or renews serving the backend server; Withdrawn ends it.
	Announce(b BackendInfo)
	Withdrawn()
	// Leave starts the graceful shutdown: queued and new attempts are refused as not run.
	Leave()
	Status() TargetStatus
}

// BackendInfo is the announcement of a backend server.
type BackendInfo struct {
	Service     string `json:"service"`
	Address     string `json:"address"`     // host:port
	Slots       int    `json:"slots"`       // calls executed at once, 0 if not told
	Connections int    `json:"connections"` // connections accepted, 0 if not told
}

// TargetStatus describes the target role for the status page.
type TargetStatus struct {
	Backend  BackendInfo   `json:"backend"`
	Leaving  bool          `json:"leaving"`
	Pressure call.Pressure `json:"pressure"`
	Running  int           `json:"running"`
}

// Execution is a running execution at the backend server beside this node;
// sub-calls that carry its token inherit from it.
type Execution struct {
	Chain     call.Chain
	Allowance *retry.Allowance
}

// Executions finds running executions by token.
type Executions interface {
	Lookup(token string) (*Execution, bool)
}

// Backend speaks to the backend server.
type Backend interface {
	// Do executes the request. sent is false when no byte reached the backend
	// server. The response body must be closed.
	Do(ctx context.Context, addr string, req *BackendRequest) (resp *BackendResponse, sent bool, err error)
}

// BackendRequest is what reaches the backend server.
type BackendRequest struct {
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	TimeoutMS int64
	Token     string // names the execution for sub-calls
}

// BackendResponse is the answer of the backend server.
type BackendResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Shed   bool // the backend server proved that it did not run the call
}
