package publish

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// BindService binds a service to a profile at the profile's current revision.
// The error is of kind errs.NotFound if the profile does not exist,
// errs.Conflict if it is being deleted, errs.Denied, or errs.Unavailable if
// nothing was changed.
func (p *Publisher) BindService(ctx context.Context, req Request, name string) (Outcome, error) {
	if _, err := p.bindable(ctx, name); err != nil {
		return Outcome{}, err
	}
	now, s, out, err := p.begin(ctx, profile.KindService, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	var needs uint64
	return p.guarded(ctx, now, s, guard{
		prepare: func(next *profile.Record) error {
			next.Deleted = next.Deleted || now.Record == nil
			next.Proposed = name
			return nil
		},
		check: func() error {
			needs, err = p.bindable(ctx, name)
			return err
		},
		abandon: func(next *profile.Record) error { next.Proposed = ""; return nil },
		commit: func(next *profile.Record) error {
			next.Deleted = false
			next.Proposed = ""
			next.Profile = name
			next.Needs = needs
			return nil
		},
	})
}

// bindable returns the revision of a profile to which a service can be bound.
func (p *Publisher) bindable(ctx context.Context, name string) (uint64, error) {
	if !profile.ValidName(name) {
		return 0, errs.New(errs.Invalid, "use lower case letters, digits, dots and hyphens", "bad profile name %q", name)
	}
	now, err := p.read(ctx, profile.KindProfile.Key(name))
	if err != nil {
		return 0, err
	}
	if !now.live() {
		return 0, errs.New(errs.NotFound, "publish the profile first", "profile %q does not exist", name)
	}
	if now.Record.Deleting {
		return 0, errs.New(errs.Conflict, "publish the profile again or use another", "profile %q is being deleted", name)
	}
	return now.Revision, nil
}
