package publish

import (
	"context"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// PutTeams creates or replaces the record with all teams. The text must hold digests and
// no keys. Only administrators may change it: whoever can, decides who is served. The
// error is of kind errs.Invalid, errs.Denied or errs.Unavailable; after an error, nothing
// was changed.
func (p *Publisher) PutTeams(ctx context.Context, req Request, text []byte) (Outcome, error) {
	if err := p.checkAdmin(req.Author); err != nil {
		return Outcome{}, err
	}
	if _, err := team.ParseRegistry(text, team.FromStore); err != nil {
		return Outcome{}, err
	}
	return p.writeTeams(ctx, req, func(next *profile.Record) error {
		next.Body = string(text)
		next.Deleted = false
		return nil
	})
}

// DeleteTeams deletes all teams, so that no keys are asked for. The error is of kind
// errs.NotFound if there are none, errs.Denied or errs.Unavailable; after an error,
// nothing was changed.
func (p *Publisher) DeleteTeams(ctx context.Context, req Request) (Outcome, error) {
	if err := p.checkAdmin(req.Author); err != nil {
		return Outcome{}, err
	}
	return p.writeTeams(ctx, req, func(next *profile.Record) error {
		if next.Deleted || next.Body == "" {
			return errs.New(errs.NotFound, "publish teams first", "there are no teams")
		}
		next.Body = ""
		next.Deleted = true
		return nil
	})
}

func (p *Publisher) writeTeams(ctx context.Context, req Request, edit recordEdit) (Outcome, error) {
	req.Name = profile.TeamsName
	current, w, out, err := p.beginChange(ctx, profile.KindTeams, req)
	if err != nil || out.Verdict != "" {
		return out, err
	}
	return p.write(ctx, current, w, edit)
}

func (p *Publisher) checkAdmin(author string) error {
	if slices.Contains(p.cfg.Admins, author) {
		return nil
	}
	return errs.New(errs.Denied, "ask an administrator (setting admins in section admin)", "%s is not an administrator", author)
}
