package admin

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// refreshingPublisher makes this node read the store after each accepted change, so that
// the node and its peers do not wait for a watcher of the store to distribute it.
type refreshingPublisher struct {
	*publish.Publisher
	profiles kernel.Profiles
}

// PutProfile implements adminapi.Publisher.
func (s refreshingPublisher) PutProfile(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error) {
	out, err := s.Publisher.PutProfile(ctx, req, text)
	return s.refreshIfAccepted(out, err)
}

// UndoProfile implements adminapi.Publisher.
func (s refreshingPublisher) UndoProfile(ctx context.Context, req publish.Request) (publish.Outcome, error) {
	out, err := s.Publisher.UndoProfile(ctx, req)
	return s.refreshIfAccepted(out, err)
}

// DeleteProfile implements adminapi.Publisher.
func (s refreshingPublisher) DeleteProfile(ctx context.Context, req publish.Request) (publish.Outcome, error) {
	out, err := s.Publisher.DeleteProfile(ctx, req)
	return s.refreshIfAccepted(out, err)
}

// PutTeams implements adminapi.Publisher.
func (s refreshingPublisher) PutTeams(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error) {
	out, err := s.Publisher.PutTeams(ctx, req, text)
	return s.refreshIfAccepted(out, err)
}

// DeleteTeams implements adminapi.Publisher.
func (s refreshingPublisher) DeleteTeams(ctx context.Context, req publish.Request) (publish.Outcome, error) {
	out, err := s.Publisher.DeleteTeams(ctx, req)
	return s.refreshIfAccepted(out, err)
}

// BindService implements adminapi.Publisher.
func (s refreshingPublisher) BindService(ctx context.Context, req publish.Request, name string) (publish.Outcome, error) {
	out, err := s.Publisher.BindService(ctx, req, name)
	return s.refreshIfAccepted(out, err)
}

// refreshIfAccepted triggers the read of the store if a change was accepted. It returns
// its arguments.
func (s refreshingPublisher) refreshIfAccepted(out publish.Outcome, err error) (publish.Outcome, error) {
	if err == nil && out.Verdict == publish.Accepted {
		s.profiles.Refresh()
	}
	return out, err
}

// unavailablePublisher is used on a node without a store in its settings. Each method
// returns an error of kind errs.Unavailable.
type unavailablePublisher struct{}

func errNoStore() error {
	return errs.New(errs.Unavailable, "set url in section store, or use a node that has it", "this node has no store")
}

// Get implements adminapi.Publisher.
func (unavailablePublisher) Get(context.Context, profile.Kind, string) (publish.Versioned, error) {
	return publish.Versioned{}, errNoStore()
}

// List implements adminapi.Publisher.
func (unavailablePublisher) List(context.Context, profile.Kind) ([]publish.Versioned, error) {
	return nil, errNoStore()
}

// PutProfile implements adminapi.Publisher.
func (unavailablePublisher) PutProfile(context.Context, publish.Request, []byte) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// UndoProfile implements adminapi.Publisher.
func (unavailablePublisher) UndoProfile(context.Context, publish.Request) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// DeleteProfile implements adminapi.Publisher.
func (unavailablePublisher) DeleteProfile(context.Context, publish.Request) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// PutTeams implements adminapi.Publisher.
func (unavailablePublisher) PutTeams(context.Context, publish.Request, []byte) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// DeleteTeams implements adminapi.Publisher.
func (unavailablePublisher) DeleteTeams(context.Context, publish.Request) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// BindService implements adminapi.Publisher.
func (unavailablePublisher) BindService(context.Context, publish.Request, string) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// Resolve implements adminapi.Publisher.
func (unavailablePublisher) Resolve(context.Context, publish.ChangeRef, string, bool) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}
