package publish

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// BindService binds a service to a profile and records the profile's current
// revision as the lowest one that nodes may use. The error is of kind errs.NotFound
// if the profile does not exist, errs.Conflict if it is being deleted, errs.Denied,
// or errs.Unavailable; after an error, the binding is unchanged.
func (p *Publisher) BindService(ctx context.Context, req Request, name string) (Outcome, error) {
	if _, err := p.bindableRevision(ctx, name); err != nil {
		return Outcome{}, err
	}
	current, w, out, err := p.beginChange(ctx, profile.KindService, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	var requiredRevision uint64
	return p.applyTwoPhase(ctx, current, w, twoPhaseChange{
		prepare: func(next *profile.Record) error {
			next.Deleted = next.Deleted || current.Record == nil
			next.Proposed = name
			return nil
		},
		check: func() error {
			requiredRevision, err = p.bindableRevision(ctx, name)
			return err
		},
		abandon: func(next *profile.Record) error { next.Proposed = ""; return nil },
		commit: func(next *profile.Record) error {
			next.Deleted = false
			next.Proposed = ""
			next.Profile = name
			next.Needs = requiredRevision
			return nil
		},
	})
}

// bindableRevision returns the current revision of a profile, or an error if a
// service cannot be bound to it.
func (p *Publisher) bindableRevision(ctx context.Context, name string) (uint64, error) {
	if !profile.ValidName(name) {
		return 0, errs.New(errs.Invalid, "use lower case letters, digits, dots and hyphens", "bad profile name %q", name)
	}
	current, err := p.read(ctx, profile.KindProfile.Key(name))
	if err != nil {
		return 0, err
	}
	if !current.exists() {
		return 0, errs.New(errs.NotFound, "publish the profile first", "profile %q does not exist", name)
	}
	if current.Record.Deleting {
		return 0, errs.New(errs.Conflict, "publish the profile again or use another", "profile %q is being deleted", name)
	}
	return current.Revision, nil
}
