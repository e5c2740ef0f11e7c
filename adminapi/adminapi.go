// Package adminapi serves the administration interface of a node over HTTP:
// profiles, service bindings, teams, changes, members, status and drain. Every request
// needs a bearer token.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// Publisher reads and changes records. *publish.Publisher implements it.
type Publisher interface {
	Get(ctx context.Context, kind profile.Kind, name string) (publish.Versioned, error)
	List(ctx context.Context, kind profile.Kind) ([]publish.Versioned, error)
	PutProfile(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error)
	UndoProfile(ctx context.Context, req publish.Request) (publish.Outcome, error)
	DeleteProfile(ctx context.Context, req publish.Request) (publish.Outcome, error)
	PutTeams(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error)
	DeleteTeams(ctx context.Context, req publish.Request) (publish.Outcome, error)
	BindService(ctx context.Context, req publish.Request, name string) (publish.Outcome, error)
	Resolve(ctx context.Context, ref publish.ChangeRef, author string, settle bool) (publish.Outcome, error)
}

// Fleet lists the members that the node knows. It must be safe for concurrent
// use.
type Fleet interface {
	Members() []Member
}

// Drainer stops the node gracefully. It must be safe for concurrent use.
type Drainer interface {
	// Drain begins a graceful shutdown and returns at once. It does nothing if
	// the shutdown has begun.
	Drain() error
	Draining() bool
}

// Profiles provides the profiles and bindings in force at the node. It must be safe
// for concurrent use. *profile.Catalog implements it.
type Profiles interface {
	Snapshot() *profile.Snapshot
	HighestRevision() uint64 // highest store revision among the records that the node knows
}

// Member describes one member as the node sees it.
type Member struct {
	Node          string `json:"node"`
	Service       string `json:"service,omitempty"`
	Addr          string `json:"addr"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"` // "alive" or "lapsed"
}

// Quotas tells what the teams have used of their quotas. It must be safe for concurrent
// use.
type Quotas interface {
	// QuotaUses returns the use of each team that had requests lately. If some part of
	// the fleet does not answer, the report lacks its teams and says so.
	QuotaUses(ctx context.Context) QuotaReport
}

// QuotaReport is the use of quotas over all nodes.
type QuotaReport struct {
	Teams   []QuotaUse `json:"teams"`
	Missing string     `json:"missing,omitempty"` // which part of the fleet did not answer
}

// QuotaUse is what a team has used of its quota over all nodes.
type QuotaUse struct {
	Team          string  `json:"team"`
	PerSecond     float64 `json:"per_second"`
	Burst         float64 `json:"burst"`
	WindowSeconds float64 `json:"window_seconds"`
	Granted       int     `json:"granted"` // requests in the last window
	Refused       int     `json:"refused"` // requests in the last window
}

// Status is the state of one node.
type Status struct {
	Node     string            `json:"node"`
	Draining bool              `json:"draining"`
	Members  int               `json:"members"`
	Revision uint64            `json:"revision"` // highest store revision among the records that the node knows
	Bindings []profile.Binding `json:"bindings"`
}

// Deps are the dependencies of the administration interface.
type Deps struct {
	Node        string // ID of the node
	Publisher   Publisher
	Fleet       Fleet
	Drainer     Drainer
	Profiles    Profiles
	Quotas      Quotas // nil if the node has none
	Credentials []Credential
	Log         *zap.Logger

	// ChangeTimeout bounds the time of a change, which continues after its client
	// has disconnected. A longer timeout leaves fewer changes not known. 0 means
	// DefaultChangeTimeout.
	ChangeTimeout time.Duration
}

// DefaultChangeTimeout leaves time for three attempts at a store that does not
// answer and for reading the record back.
const DefaultChangeTimeout = 15 * time.Second

// MaxBodyBytes bounds the body of a request; the largest body is the text of all teams.
const MaxBodyBytes = team.MaxTextBytes + 1

type api struct {
	Deps
}

// New returns the handler of the administration interface.
func New(deps Deps) http.Handler {
	if deps.ChangeTimeout == 0 {
		deps.ChangeTimeout = DefaultChangeTimeout
	}
	a := &api{Deps: deps}
	mux := http.NewServeMux()
	for pattern, h := range a.routes() {
		mux.Handle(pattern, a.authenticated(h))
	}
	return mux
}

// handler serves one authenticated request; author is the name of its credential.
// If it returns an error, the response is a Problem made from it.
type handler func(w http.ResponseWriter, r *http.Request, author string) error

func (a *api) routes() map[string]handler {
	return map[string]handler{
		"GET /v1/profiles":              a.list(profile.KindProfile),
		"GET /v1/profiles/{name}":       a.get(profile.KindProfile),
		"PUT /v1/profiles/{name}":       a.putProfile,
		"DELETE /v1/profiles/{name}":    a.deleteProfile,
		"POST /v1/profiles/{name}/undo": a.undoProfile,
		"GET /v1/services":              a.list(profile.KindService),
		"GET /v1/services/{name}":       a.get(profile.KindService),
		"PUT /v1/services/{name}":       a.bindService,
		"GET /v1/teams":                 allTeams(a.get(profile.KindTeams)),
		"PUT /v1/teams":                 allTeams(a.putTeams),
		"DELETE /v1/teams":              allTeams(a.deleteTeams),
		"GET /v1/changes/{ref...}":      a.resolve(false),
		"POST /v1/changes/{ref...}":     a.resolve(true),
		"GET /v1/members":               a.members,
		"GET /v1/quotas":                a.quotas,
		"GET /v1/status":                a.status,
		"POST /v1/drain":                a.drain,
	}
}
