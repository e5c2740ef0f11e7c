package kernel

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Policies gives the profiles in force. Safe for concurrent use.
type Policies interface {
	Snapshot() *profile.Snapshot
	// Highest returns the highest store revision of a record that this node has learned.
	Highest() uint64
	// Refresh tells that the store has accepted a change; it is read at once.
	Refresh()
}

// Fleet gives the known members. Safe for concurrent use.
type Fleet interface {
	// Version rises with each change of the membership.
	Version() uint64
	// Members returns the members that announced the service; the slice must not be changed.
	Members(service string) []membership.Member
	// All returns every known member; the slice must not be changed.
	All() []membership.Member
	// Announce tells the fleet which service the backend server beside this
	// node runs, with how many slots; "" withdraws the announcement.
	Announce(service string, slots int)
	// RecordEnd tells the fleet that a start of the backend server beside this node
	// takes no more calls. It returns once the store holds that, so that the next
	// process of the node learns it, or with the error of ctx.
	RecordEnd(ctx context.Context, start membership.Start) error
	// Leave tells the fleet that this node is shutting down.
	Leave()
}

// Replica is this node's copy of the store. Safe for concurrent use.
type Replica interface {
	// Revision returns the store revision that this node knows; 0 before it
	// knows any state.
	Revision() uint64
	// ObserveRevision takes the revision that the node at addr knows.
	ObserveRevision(addr string, revision uint64)
}

// Request is a call on the caller's side.
type Request struct {
	Service        string
	Host           string // that the caller named, "" for the service
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

// IngressRequest is a request that the desired state routes by host and path.
type IngressRequest struct {
	Host      string
	Method    string
	Target    string // path and query, as the caller wrote them
	Header    http.Header
	Body      []byte
	RequestID string
	Wait      time.Duration // how long the caller waits, 0 if it does not tell
}

// Ingress serves requests by the desired state of routes. The error is of kind
// errs.NotFound without a route and errs.Unavailable without a desired state; the
// request has not run then.
type Ingress interface {
	Serve(ctx context.Context, r *IngressRequest) (*Answer, error)
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
	// Withdraw asks the process node at addr to promise that the attempt never
	// starts.
	Withdraw(ctx context.Context, addr, node string, attempt call.ID) (neverRan bool, err error)
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
	// Withdraw promises that an attempt sent to the process node never starts,
	// if this is that process and nothing has started.
	Withdraw(node string, attempt call.ID) (neverRan bool)
	Claim(c *wire.Claim) *wire.ClaimReply
	Release(r *wire.Release)
	// Report takes an ordered statement of the backend server; Departed takes that
	// a start of it leaves. Both return once an end that is told outlasts this
	// process, or when it could not be recorded in time.
	Report(ctx context.Context, r lifecycle.Report)
	BackendDeparted(ctx context.Context, start membership.Start)
	// AnnounceBackend starts or renews serving the backend server; Withdrawn ends it.
	AnnounceBackend(b BackendInfo)
	WithdrawBackend()
	// Leave starts the graceful shutdown: queued and new attempts are refused as not run.
	Leave()
	Status() TargetStatus
}

// BackendInfo is the announcement of a backend server.
type BackendInfo struct {
	Instance    string `json:"instance"` // id of this start, "" if not told
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

// Executions finds running executions.
type Executions interface {
	// Lookup finds an execution by its token.
	Lookup(token string) (*Execution, bool)
	// LookupRequest finds an execution by the id that the caller gave the request.
	LookupRequest(id string) (*Execution, bool)
}

// Backend speaks to the backend server.
type Backend interface {
	// Do executes the request. sent is false when no byte reached the backend
	// server. The response body must be closed.
	Do(ctx context.Context, addr string, req *BackendRequest) (resp *BackendResponse, sent bool, err error)
}

// BackendRequest is what reaches the backend server.
type BackendRequest struct {
	Method        string
	Target        string
	Host          string
	Header        http.Header // not nil; the backend adds its own lines
	Body          []byte
	TimeoutMS     int64
	Token         string // names the execution for sub-calls
	RequestID     string // that the caller gave the request
	Instance      string // start of the backend server that is to run it, "" for any
	Origin        string // service beside the node where the request began
	Idempotent    bool
	NewConnection bool // over a new connection, since an older one may be silent
}

// BackendResponse is the answer of the backend server.
type BackendResponse struct {
	BackendReport
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// BackendReport is what the head of an answer tells besides the answer.
type BackendReport struct {
	NotRun        bool        // the backend server proved that it did not run the call
	Unproved      bool        // the status says not run without the proof of it
	OtherInstance bool        // another start of a backend server has the address; it did not run the call
	OtherRequest  bool        // the answer belongs to another request
	Load          BackendLoad // zero if not told
}

// BackendLoad is the load that a backend server tells.
type BackendLoad struct {
	Running, Waiting, Slots int
}

// BackendDialect names the headers by which a node and a backend server
// understand each other. Safe for concurrent use.
type BackendDialect interface {
	// Encode sets the headers of a request.
	Encode(h http.Header, req *BackendRequest)
	// Decode reads the head of an answer and removes what only the node reads.
	Decode(status int, h http.Header, req *BackendRequest) BackendReport
}
