// Package adminapi serves the administration interface of a node over HTTP:
// profiles, bindings, changes, members, status and drain. Every call needs a
// bearer token.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// Publisher changes records; *publish.Publisher implements it.
type Publisher interface {
	Get(ctx context.Context, kind profile.Kind, name string) (publish.Versioned, error)
	List(ctx context.Context, kind profile.Kind) ([]publish.Versioned, error)
	PutProfile(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error)
	UndoProfile(ctx context.Context, req publish.Request) (publish.Outcome, error)
	DeleteProfile(ctx context.Context, req publish.Request) (publish.Outcome, error)
	BindService(ctx context.Context, req publish.Request, name string) (publish.Outcome, error)
	Resolve(ctx context.Context, ref publish.ChangeRef, author string, settle bool) (publish.Outcome, error)
}

// Fleet tells which members the node knows. It must be safe for concurrent use.
type Fleet interface {
	Members() []Member
}

// Drainer stops the node gracefully. It must be safe for concurrent use.
type Drainer interface {
	// Drain begins a graceful shutdown and returns at once. A second call
	// changes nothing.
	Drain() error
	Draining() bool
}

// Catalog tells which profiles are in force at the node. It must be safe for
// concurrent use.
type Catalog interface {
	Snapshot() *profile.Snapshot
	Highest() uint64 // the highest store revision learned
}

// Member is one member as the node knows it.
type Member struct {
	Node          string `json:"node"`
	Service       string `json:"service,omitempty"`
	Addr          string `json:"addr"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// Status is the state of one node.
type Status struct {
	Node     string            `json:"node"`
	Draining bool              `json:"draining"`
	Members  int               `json:"members"`
	Revision uint64            `json:"revision"` // highest store revision learned
	Bindings []profile.Binding `json:"bindings"`
}

// Deps are what the interface rests on.
type Deps struct {
	Node        string
	Publisher   Publisher
	Fleet       Fleet
	Drainer     Drainer
	Catalog     Catalog
	Credentials []Credential
	Log         *zap.Logger

	// ChangeTimeout bounds a change, which goes on when its caller has gone. A
	// longer one leaves fewer changes not known. 0 means DefaultChangeTimeout.
	ChangeTimeout time.Duration
}

// DefaultChangeTimeout leaves time for three attempts at a silent store and for
// reading back.
const DefaultChangeTimeout = 15 * time.Second

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = profile.MaxBytes + 1

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

// handler serves one request of a credential. An error becomes the answer.
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
		"GET /v1/changes/{ref...}":      a.resolve(false),
		"POST /v1/changes/{ref...}":     a.resolve(true),
		"GET /v1/members":               a.members,
		"GET /v1/status":                a.status,
		"POST /v1/drain":                a.drain,
	}
}
