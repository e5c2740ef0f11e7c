package publish

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// PutProfile creates or replaces a profile. The error is of kind errs.Invalid,
// which lists all faults of the text, errs.Denied, or errs.Unavailable; after an
// error, nothing was changed.
func (p *Publisher) PutProfile(ctx context.Context, req Request, text []byte) (Outcome, error) {
	parsed, err := profile.Parse(req.Name, text)
	if err != nil {
		return Outcome{}, err
	}
	current, w, out, err := p.beginChange(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	return p.write(ctx, current, w, func(next *profile.Record) error {
		setBody(next, string(text))
		if len(parsed.Owners) > 0 {
			next.Owners = parsed.Owners
		}
		return nil
	})
}

// UndoProfile restores the text that the latest change replaced. It also restores
// a deleted profile. The error is of kind errs.Invalid if there is no earlier text,
// errs.Denied, or errs.Unavailable; after an error, nothing was changed.
func (p *Publisher) UndoProfile(ctx context.Context, req Request) (Outcome, error) {
	current, w, out, err := p.beginChange(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	return p.write(ctx, current, w, func(next *profile.Record) error {
		if next.Previous == "" {
			return errs.New(errs.Invalid, "publish the text that you want", "profile %q has no earlier text", req.Name)
		}
		setBody(next, next.Previous)
		return nil
	})
}

// setBody replaces the text of a profile and keeps the old one for UndoProfile.
func setBody(next *profile.Record, body string) {
	if !next.Deleted {
		next.Previous = next.Body
	}
	next.Body = body
	next.Deleted = false
	next.Deleting = false
}

// DeleteProfile deletes a profile. The error is of kind errs.NotFound if the profile
// does not exist, errs.Conflict if a service is bound to it, errs.Denied, or
// errs.Unavailable; after an error, the profile is not deleted. The profile is marked
// as being deleted before the bindings are read, and BindService stores the proposed
// binding before it reads the mark, so that of a concurrent delete and bind at least
// one sees the other.
func (p *Publisher) DeleteProfile(ctx context.Context, req Request) (Outcome, error) {
	current, w, out, err := p.beginChange(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	if !current.exists() {
		return Outcome{}, errs.New(errs.NotFound, "check the name", "profile %q does not exist", req.Name)
	}
	if err := p.checkUnbound(ctx, req.Name); err != nil {
		return Outcome{}, err
	}
	return p.applyTwoPhase(ctx, current, w, twoPhaseChange{
		prepare: func(next *profile.Record) error { next.Deleting = true; return nil },
		check:   func() error { return p.checkUnbound(ctx, req.Name) },
		abandon: func(next *profile.Record) error { next.Deleting = false; return nil },
		commit: func(next *profile.Record) error {
			setBody(next, "")
			next.Deleted = true
			return nil
		},
	})
}

// checkUnbound returns an error of kind errs.Conflict if a service is bound to a
// profile or a binding to it is proposed.
func (p *Publisher) checkUnbound(ctx context.Context, name string) error {
	entries, _, err := p.store.List(ctx, profile.KindService.Prefix())
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "try again when the store is back", "read the bindings")
	}
	var bound []string
	for _, e := range entries {
		r, err := profile.DecodeRecord(e.Key, e.Value)
		if err != nil {
			return errs.Wrap(err, errs.Conflict, "bind the service again", "%s may be bound to %q", e.Key, name)
		}
		if r.Proposed == name || (!r.Deleted && r.Profile == name) {
			bound = append(bound, r.Name)
		}
	}
	if len(bound) > 0 {
		return errs.New(errs.Conflict, "bind these services to another profile first", "profile %q is in use by %s", name, strings.Join(bound, ", "))
	}
	return nil
}

// twoPhaseChange is a change that is made by two writes with a check between them.
type twoPhaseChange struct {
	prepare recordEdit   // marks the record, so that concurrent changes see this one
	check   func() error // looks for the marks of concurrent changes
	commit  recordEdit
	abandon recordEdit // removes the mark that prepare set
}

// applyTwoPhase prepares, checks and commits a change. If the preparation is not
// confirmed or the check fails, it returns an error and the change is not applied.
// The mark of the preparation may then remain until the next change of the record.
func (p *Publisher) applyTwoPhase(ctx context.Context, current Versioned, w recordWrite, change twoPhaseChange) (Outcome, error) {
	first := recordWrite{ref: ChangeRef{ID: uuid.New(), Key: w.ref.Key, Base: w.ref.Base}, author: w.author, prepares: &w.ref.ID}
	out, err := p.write(ctx, current, first, change.prepare)
	out.Change = w.ref
	if err != nil || out.Verdict == Conflict {
		return out, err
	}
	if out.Verdict == NotKnown {
		return Outcome{}, errs.New(errs.Unavailable, "try again when the store is back", "%s was not changed: %s", w.ref.Key, out.Detail)
	}
	prepared, err := p.readAt(ctx, w.ref.Key, out.Revision)
	if err == nil {
		err = change.check()
	}
	if err != nil {
		p.abandon(ctx, prepared, w, change.abandon)
		return Outcome{}, err
	}
	w.ref.Base = prepared.Revision
	return p.write(ctx, prepared, w, change.commit)
}

// readAt reads a record and returns an error of kind errs.Conflict if it is not at
// the given revision.
func (p *Publisher) readAt(ctx context.Context, key string, revision uint64) (Versioned, error) {
	current, err := p.read(ctx, key)
	if err != nil {
		return Versioned{}, err
	}
	if current.Revision != revision {
		return Versioned{}, errs.New(errs.Conflict, "read the record again", "%s was changed at revision %d", key, current.Revision)
	}
	return current, nil
}

// abandon tries to remove the mark of a preparation. Errors are ignored, because
// the next change of the record removes the mark, too.
func (p *Publisher) abandon(ctx context.Context, prepared Versioned, w recordWrite, change recordEdit) {
	if prepared.Record == nil {
		return
	}
	removal := recordWrite{ref: ChangeRef{ID: uuid.New(), Key: w.ref.Key, Base: prepared.Revision}, author: w.author}
	_, _ = p.write(ctx, prepared, removal, change)
}
