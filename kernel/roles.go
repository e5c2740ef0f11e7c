package kernel

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/quota"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
	"github.com/dogwoodhatch/dogwoodhatch/team"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Profiles provides the profiles in force. Implementations are safe for concurrent
// use.
type Profiles interface {
	// Snapshot returns the profiles in force as an immutable snapshot.
	Snapshot() *profile.Snapshot
	// HighestRevision returns the highest store revision among the operators' records
	// that this node knows.
	HighestRevision() uint64
	// Refresh triggers an immediate read of the store, after a change that the
	// store has accepted.
	Refresh()
}

// Fleet provides the known members and publishes this node's own record.
// Implementations are safe for concurrent use.
type Fleet interface {
	// Version returns a number that increases with each change of the membership.
	Version() uint64
	// Members returns the members that announced the service. The slice must not be
	// modified.
	Members(service string) []membership.Member
	// All returns every known member. The slice must not be modified.
	All() []membership.Member
	// Announce publishes the service and the number of slots of the backend server
	// beside this node; an empty service withdraws the announcement.
	Announce(service string, slots int)
	// RecordEnd records that a start of the backend server beside this node accepts
	// no more calls, so that the next process of this node learns of it. It returns nil
	// once the store holds the record, or if other nodes know of the end when ctx ends;
	// otherwise the error of ctx.
	RecordEnd(ctx context.Context, start membership.BackendStart) error
	// AwaitEnded waits until other nodes had time to tell which start of the backend server
	// had ended before this process began, or until ctx ends.
	AwaitEnded(ctx context.Context)
	// Leave announces that this node is shutting down.
	Leave()
}

// Replica is this node's copy of the store. Implementations are safe for
// concurrent use.
type Replica interface {
	// Revision returns the store revision of the copy, or 0 before any state is
	// known.
	Revision() uint64
	// ProofAge returns the time since the copy is proved to have held every change that
	// the store had acknowledged, or the longest duration if there was no proof yet.
	ProofAge() time.Duration
	// ObserveRevision reports that the node at addr has the given revision. If it
	// is higher than that of this node, the state is fetched.
	ObserveRevision(addr string, revision uint64)
}

// Request is a call as seen by the node beside the caller.
type Request struct {
	Service        string
	Host           string // host named by the caller; "" stands for the service name
	Method         string
	Target         string // path and query
	Header         http.Header
	Body           []byte
	Chain          call.Chain
	Allowance      *retry.Allowance
	IdempotencyKey string
	Parent         *Execution // execution that made the request, nil if none is known
	FromClient     bool       // a client begins a chain with the request; false for calls of backend servers
}

// Answer is the final result of a Request. The receiver must close Body. A read
// error other than io.EOF means that the answer is incomplete.
type Answer struct {
	call.Result
	Header  http.Header
	Body    io.ReadCloser // nil unless answered
	Length  int64         // of the body in bytes, -1 if unknown
	Trailer *Trailer      // complete once Body has returned io.EOF or the request was refused
}

// IngressRequest is a request that is routed by host and path according to the
// desired state.
type IngressRequest struct {
	Host   string
	Method string
	Target string // path and query, exactly as the caller sent them
	Header http.Header
	Body   []byte
	// ReadBody reads the body from the caller once the request will not be refused, and
	// waits for room until ctx ends; nil if Body is set. Its errors end the request.
	ReadBody  func(ctx context.Context) ([]byte, error)
	RequestID string
	// Credentials are the values of all Authorization headers.
	Credentials []string
	// HeaderWithoutTeams holds the headers that are forwarded only if the desired
	// state has no teams; nil if there are none.
	HeaderWithoutTeams http.Header
	Wait               time.Duration // how long the caller waits for the answer, 0 if unknown
}

// Ingress serves requests according to the desired routing state. The error is of
// kind errs.NotFound if no route matches, errs.Unavailable if no desired state is
// known, and errs.Unauthorized if the request needs an API key and has no known one.
// In all cases the request has not run.
type Ingress interface {
	Serve(ctx context.Context, r *IngressRequest) (*Answer, error)
}

// Trailer holds the fields that arrive after the body of an answer.
type Trailer struct {
	Done        bool // the end of the answer has arrived
	RetriesLeft int  // unspent part of the retry allowance sent with the attempt
}

// Caller executes requests, including throttling, routing and retries.
type Caller interface {
	// Do executes a request and returns its final answer, which is never nil.
	Do(ctx context.Context, req *Request) *Answer
}

// Attempt is one try of a call at one target node, as seen by the node that sends
// it.
type Attempt struct {
	Head *wire.CallHead
	Body []byte
}

// Transport sends messages to other nodes. Apart from Call, its methods return an error
// of kind errs.Unknown if the message may have arrived; after any other error it has
// not been sent.
type Transport interface {
	// Call sends an attempt. The error is of kind errs.Unavailable if nothing was
	// sent; any later fault is reported by the answer.
	Call(ctx context.Context, addr string, a *Attempt) (*Answer, error)
	// Withdraw asks the process identified by node, at addr, to guarantee that the
	// attempt never starts. neverRan is true if the process gave that guarantee.
	Withdraw(ctx context.Context, addr, node string, attempt call.ID) (neverRan bool, err error)
	// Claim records an idempotency key at the holder with address addr.
	Claim(ctx context.Context, addr string, c *wire.Claim) (*wire.ClaimReply, error)
	// Release removes a claim from its holder.
	Release(ctx context.Context, addr string, r *wire.Release) error
	// Exchange sends a control request on a topic and returns the reply.
	Exchange(ctx context.Context, addr, topic string, payload []byte) ([]byte, error)
}

// AnswerWriter receives the answer of a Target. WriteHead is called once, then
// Write any number of times. The outcome is the result of Target.Serve.
type AnswerWriter interface {
	// WriteHead sends the head of an answer, with the status, the pressure and the
	// ChainRefused mark of res.
	WriteHead(res call.Result, h http.Header) error
	io.Writer
}

// Target executes attempts at the backend server beside this node.
type Target interface {
	// Serve executes one attempt. ctx is canceled when the connection to the source
	// node is lost.
	Serve(ctx context.Context, head *wire.CallHead, body []byte, w AnswerWriter) call.Result
	// Withdraw guarantees that an attempt never starts, if it was sent to this
	// process (node is its ID) and has not started. Otherwise neverRan is false.
	Withdraw(node string, attempt call.ID) (neverRan bool)
	// Claim records an idempotency key, with this node as the holder.
	Claim(c *wire.Claim) *wire.ClaimReply
	// Release removes a claim.
	Release(r *wire.Release)
	// Report processes a status report of the backend server; reports are ordered by
	// their sequence number. If the report ends a start of the backend server, Report
	// returns once the end is recorded in the store, or could not be recorded in
	// time. A report that cannot come from the backend server beside this node changes
	// nothing; the error is of kind errs.Invalid.
	Report(ctx context.Context, r lifecycle.Report) error
	// BackendDeparted processes the notice that a start of the backend server is
	// leaving. It returns under the same condition as Report.
	BackendDeparted(ctx context.Context, start membership.BackendStart)
	// AnnounceBackend starts serving a backend server or renews its announcement.
	AnnounceBackend(b BackendInfo)
	// WithdrawBackend stops serving the backend server: queued calls are refused as not
	// run, and running calls finish.
	WithdrawBackend()
	// Leave starts the graceful shutdown: queued and new attempts are refused as not run.
	Leave()
	// Status returns the current state for the status page.
	Status() TargetStatus
}

// BackendInfo is the announcement of a backend server.
type BackendInfo struct {
	Instance    string `json:"instance"` // ID of this start of the backend server, "" if unknown
	Service     string `json:"service"`
	Address     string `json:"address"`     // host:port
	Slots       int    `json:"slots"`       // maximum concurrent calls, 0 if unknown
	Connections int    `json:"connections"` // maximum accepted connections, 0 if unknown
}

// TargetStatus is the state of the target role as shown on the status page.
type TargetStatus struct {
	Backend   BackendInfo    `json:"backend"`
	Leaving   bool           `json:"leaving"` // shutting down, or no backend server is served
	Pressure  call.Pressure  `json:"pressure"`
	Running   int            `json:"running"`
	RateLimit call.RateLimit `json:"rate_limit"` // announced by the backend server
}

// Execution is a call that the backend server beside this node is executing.
// Sub-calls that carry its token inherit its chain and share its retry allowance.
type Execution struct {
	Chain     call.Chain
	Allowance *retry.Allowance

	callRefused atomic.Bool
}

// RecordCall records how a sub-call of the execution ended.
func (e *Execution) RecordCall(res call.Result) {
	if refusedBelow(res) {
		e.callRefused.Store(true)
	}
}

// CallRefused reports whether a sub-call was refused, ran out of time or failed for such
// a sub-call of its own.
func (e *Execution) CallRefused() bool { return e.callRefused.Load() }

// refusedBelow reports whether a sub-call failed because the services below lack room or
// time. Sub-calls that the backend server canceled, and those refused for what they are,
// say nothing about that.
func refusedBelow(res call.Result) bool {
	switch res.Outcome {
	case call.Answered:
		return res.ChainRefused
	case call.Unknown:
		return res.Reason == call.ReasonDeadline
	}
	switch res.Reason {
	case call.ReasonCanceled, call.ReasonBadRequest, call.ReasonSuspect, call.ReasonQuarantined:
		return false
	}
	return res.Outcome == call.Refused
}

// Quarantine decides which requests may run although backend servers have crashed while
// they executed the same request. Implementations are safe for concurrent use.
type Quarantine interface {
	// Admit waits until the request may run. If it returns a refusal, the request must
	// not run; otherwise the result is zero and the permit must be returned. attempt
	// identifies the attempt among all nodes.
	Admit(ctx context.Context, f quarantine.Fingerprint, attempt string, deadline time.Time) (Permit, call.Result)
	// Return reports that a run of the request has ended, and gives its permit back.
	// complete says that it was answered completely.
	Return(f quarantine.Fingerprint, p Permit, complete bool)
	// Crashed records that a start of the backend server beside this node crashed while
	// it executed the requests. It returns once the other nodes know, or after a short
	// time.
	Crashed(start string, runs []quarantine.Run)
}

// Permit allows an attempt to run a suspect request. It is zero for other requests.
type Permit struct {
	Holder string // attempt that holds it
	Alone  bool   // no other attempt has one
}

// Quotas bounds the requests of teams over all nodes. Implementations are safe for
// concurrent use.
type Quotas interface {
	// Take takes a token for a request of a client. It may wait some milliseconds. A
	// refusal has the reason call.ReasonQuota, and the request must not run; otherwise the
	// result is zero. A team without a limit needs no token.
	Take(ctx context.Context, t *team.Team, deadline time.Time) (quota.Token, call.Result)
	// Return gives the token of a request back that was refused afterwards, so that no
	// backend server has run it.
	Return(t quota.Token)
	// Uses returns what the teams have used of their quotas, as their owners have counted
	// it. The error is of kind errs.Unavailable if an owner does not answer; the list then
	// lacks its teams.
	Uses(ctx context.Context) ([]quota.Use, error)
}

// Executions looks up running executions.
type Executions interface {
	// Lookup returns the execution with a token.
	Lookup(token string) (*Execution, bool)
	// LookupRequest returns the execution of the request with the ID that the caller
	// assigned.
	LookupRequest(id string) (*Execution, bool)
}

// Backend sends requests to the backend server.
type Backend interface {
	// Do sends a request and returns once the head of the response has arrived. sent
	// is false if certainly no byte reached the backend server. The caller must close
	// the response body.
	Do(ctx context.Context, addr string, req *BackendRequest) (resp *BackendResponse, sent bool, err error)
	// RefusesConnections reports whether no process accepts connections at addr. It is
	// false if ctx ends before that is known.
	RefusesConnections(ctx context.Context, addr string) bool
}

// BackendRequest is a request to the backend server.
type BackendRequest struct {
	Method        string
	Target        string
	Host          string
	Header        http.Header // must not be nil; Backend adds its own headers
	Body          []byte
	TimeoutMS     int64  // time left until the deadline of the call
	Token         string // identifies the execution in the baggage of sub-calls
	RequestID     string // assigned by the caller
	Instance      string // ID of the start of the backend server that must run it, "" for any
	Origin        string // service of the backend server on the VM where the call was made, "" if unknown
	Team          string // on whose behalf the call is made, "" if unknown
	Idempotent    bool
	NewConnection bool // use a new connection, because an existing one may be dead
}

// BackendResponse is the response of the backend server.
type BackendResponse struct {
	BackendReport
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// BackendReport is the control information in the head of a response.
type BackendReport struct {
	NotRun        bool        // the backend server proved that it did not run the call
	Unproved      bool        // the status says that the call did not run, but the proof is missing
	OtherInstance bool        // a different start of a backend server now has the address and did not run the call
	OtherRequest  bool        // the response belongs to a different request
	NamesRequest  bool        // the response names the request that it belongs to
	Load          BackendLoad // zero if not reported
	RateLimit     call.RateLimit
	Leaving       bool // the backend server accepts no new calls
}

// BackendLoad is the load reported by a backend server, in calls.
type BackendLoad struct {
	Running, Waiting, Slots int
	Pace                    float64 // current execution time as a multiple of the usual one; 0 if not reported
}

// BackendDialect encodes and decodes the headers exchanged by a node and a backend
// server. Implementations are safe for concurrent use.
type BackendDialect interface {
	// Encode adds the headers of a request to h.
	Encode(h http.Header, req *BackendRequest)
	// Decode reads the head of a response and removes the headers that are meant for
	// the node only.
	Decode(status int, h http.Header, req *BackendRequest) BackendReport
}
