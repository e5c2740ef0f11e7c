package publish

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// PutProfile creates or replaces a profile. The error is of kind errs.Invalid
// with all faults of the text, errs.Denied, or errs.Unavailable if nothing was
// changed.
func (p *Publisher) PutProfile(ctx context.Context, req Request, text []byte) (Outcome, error) {
	parsed, err := profile.Parse(req.Name, text)
	if err != nil {
		return Outcome{}, err
	}
	now, s, out, err := p.begin(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	return p.write(ctx, now, s, func(next *profile.Record) error {
		setBody(next, string(text))
		if len(parsed.Owners) > 0 {
			next.Owners = parsed.Owners
		}
		return nil
	})
}

// UndoProfile publishes the text that the latest change replaced, also that of
// a deleted profile.
func (p *Publisher) UndoProfile(ctx context.Context, req Request) (Outcome, error) {
	now, s, out, err := p.begin(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	return p.write(ctx, now, s, func(next *profile.Record) error {
		if next.Previous == "" {
			return errs.New(errs.Invalid, "publish the text that you want", "profile %q has no earlier text", req.Name)
		}
		setBody(next, next.Previous)
		return nil
	})
}

func setBody(next *profile.Record, body string) {
	if !next.Deleted {
		next.Previous = next.Body
	}
	next.Body = body
	next.Deleted = false
	next.Deleting = false
}

// DeleteProfile deletes a profile to which no service is bound; otherwise the
// error is of kind errs.Conflict. The profile is marked before the bindings are
// read, and a binding is proposed before the mark is read, so that of two that
// race at least one sees the other.
func (p *Publisher) DeleteProfile(ctx context.Context, req Request) (Outcome, error) {
	now, s, out, err := p.begin(ctx, profile.KindProfile, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	if !now.live() {
		return Outcome{}, errs.New(errs.NotFound, "check the name", "profile %q does not exist", req.Name)
	}
	if err := p.checkUnbound(ctx, req.Name); err != nil {
		return Outcome{}, err
	}
	return p.guarded(ctx, now, s, guard{
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

// checkUnbound returns an error of kind errs.Conflict if a service is bound to
// a profile or is about to be.
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

// guard is a change in two writes with a check between them.
type guard struct {
	prepare edit         // tells others of the change
	check   func() error // reads what others have told
	commit  edit
	abandon edit // takes prepare back
}

// guarded makes a change in two writes. It fails without having applied the
// change if the preparation is not confirmed or the check fails; the mark of a
// preparation may then stay behind, and the next change removes it.
func (p *Publisher) guarded(ctx context.Context, now Versioned, s step, g guard) (Outcome, error) {
	first := step{ref: ChangeRef{ID: uuid.New(), Key: s.ref.Key, Base: s.ref.Base}, author: s.author, prepares: &s.ref.ID}
	out, err := p.write(ctx, now, first, g.prepare)
	out.Change = s.ref
	if err != nil || out.Verdict == Conflict {
		return out, err
	}
	if out.Verdict == NotKnown {
		return Outcome{}, errs.New(errs.Unavailable, "try again when the store is back", "%s was not changed: %s", s.ref.Key, out.Detail)
	}
	prepared, err := p.readAt(ctx, s.ref.Key, out.Revision)
	if err == nil {
		err = g.check()
	}
	if err != nil {
		p.abandon(ctx, prepared, s, g.abandon)
		return Outcome{}, err
	}
	s.ref.Base = prepared.Revision
	return p.write(ctx, prepared, s, g.commit)
}

// readAt reads a record that is expected at a revision.
func (p *Publisher) readAt(ctx context.Context, key string, revision uint64) (Versioned, error) {
	now, err := p.read(ctx, key)
	if err != nil {
		return Versioned{}, err
	}
	if now.Revision != revision {
		return Versioned{}, errs.New(errs.Conflict, "read the record again", "%s was changed at revision %d", key, now.Revision)
	}
	return now, nil
}

// abandon takes a preparation back where the store lets it.
func (p *Publisher) abandon(ctx context.Context, prepared Versioned, s step, change edit) {
	if prepared.Record == nil {
		return
	}
	undo := step{ref: ChangeRef{ID: uuid.New(), Key: s.ref.Key, Base: prepared.Revision}, author: s.author}
	_, _ = p.write(ctx, prepared, undo, change)
}
