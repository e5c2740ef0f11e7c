package admin

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// spreading lets this node read each accepted change at once, so that it and the
// nodes around it do not wait for a watcher of the store.
type spreading struct {
	*publish.Publisher
	policies kernel.Policies
}

// PutProfile implements adminapi.Publisher.
func (s spreading) PutProfile(ctx context.Context, req publish.Request, text []byte) (publish.Outcome, error) {
	out, err := s.Publisher.PutProfile(ctx, req, text)
	return s.accepted(out, err)
}

// UndoProfile implements adminapi.Publisher.
func (s spreading) UndoProfile(ctx context.Context, req publish.Request) (publish.Outcome, error) {
	out, err := s.Publisher.UndoProfile(ctx, req)
	return s.accepted(out, err)
}

// DeleteProfile implements adminapi.Publisher.
func (s spreading) DeleteProfile(ctx context.Context, req publish.Request) (publish.Outcome, error) {
	out, err := s.Publisher.DeleteProfile(ctx, req)
	return s.accepted(out, err)
}

// BindService implements adminapi.Publisher.
func (s spreading) BindService(ctx context.Context, req publish.Request, name string) (publish.Outcome, error) {
	out, err := s.Publisher.BindService(ctx, req, name)
	return s.accepted(out, err)
}

func (s spreading) accepted(out publish.Outcome, err error) (publish.Outcome, error) {
	if err == nil && out.Verdict == publish.Accepted {
		s.policies.Refresh()
	}
	return out, err
}

// noStore answers every change on a node that has no store in its settings.
type noStore struct{}

func errNoStore() error {
	return errs.New(errs.Unavailable, "set url in section store, or use a node that has it", "this node has no store")
}

// Get implements adminapi.Publisher.
func (noStore) Get(context.Context, profile.Kind, string) (publish.Versioned, error) {
	return publish.Versioned{}, errNoStore()
}

// List implements adminapi.Publisher.
func (noStore) List(context.Context, profile.Kind) ([]publish.Versioned, error) {
	return nil, errNoStore()
}

// PutProfile implements adminapi.Publisher.
func (noStore) PutProfile(context.Context, publish.Request, []byte) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// UndoProfile implements adminapi.Publisher.
func (noStore) UndoProfile(context.Context, publish.Request) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// DeleteProfile implements adminapi.Publisher.
func (noStore) DeleteProfile(context.Context, publish.Request) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// BindService implements adminapi.Publisher.
func (noStore) BindService(context.Context, publish.Request, string) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}

// Resolve implements adminapi.Publisher.
func (noStore) Resolve(context.Context, publish.ChangeRef, string, bool) (publish.Outcome, error) {
	return publish.Outcome{}, errNoStore()
}
