package publish

import (
	"context"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// outcomeFromHistory derives the verdict on a change from the history of its
// record. Accepted: the history contains the change. NotApplied: another change
// has replaced the base revision, so that the compare-and-swap of this one can
// never succeed. NotKnown otherwise.
func outcomeFromHistory(ref ChangeRef, current Versioned) Outcome {
	out := Outcome{Verdict: NotKnown, Change: ref, Revision: current.Revision}
	if current.Record == nil {
		out.Detail = "the record does not exist; the write may still arrive"
		return out
	}
	base := ref.Base
	for i, c := range current.Record.History {
		revision := current.RevisionAt(i)
		switch {
		case c.ID == ref.ID:
			return Outcome{Verdict: Accepted, Change: ref, Revision: revision}
		case c.Base != base:
		case c.Prepares != nil && *c.Prepares == ref.ID:
			base = revision // the change replaces the revision of its preparation
		default:
			out.Verdict = NotApplied
			out.Detail = "change " + c.ID.String() + " by " + c.Author + " came first"
		}
	}
	if out.Verdict == NotApplied {
		return out
	}
	out.Detail = "the write may still arrive"
	if current.Revision != base {
		out.Detail = "the history of the record does not reach back to the change"
	}
	return out
}

// RevisionAt returns the store revision that history entry i produced, which is
// the base of the entry after it.
func (v Versioned) RevisionAt(i int) uint64 {
	if i+1 < len(v.Record.History) {
		return v.Record.History[i+1].Base
	}
	return v.Revision
}

// acceptedOrConflict returns an accepted outcome as it is and replaces any other
// by a conflict with the current record.
func (o Outcome) acceptedOrConflict(current Versioned) Outcome {
	if o.Verdict == Accepted {
		return o
	}
	return Outcome{Verdict: Conflict, Change: o.Change, Revision: current.Revision, Current: current.Record, Detail: o.Detail}
}

// Resolve reads the record of a change and returns the outcome of the change. If
// settle is set and the verdict is NotKnown, it first writes the record again
// without a change of the profile or the binding. This fencing write replaces the
// base revision, so that a delayed write of the change can no longer succeed; if it
// loses against the delayed write, the change is found in the history. The error is of
// kind errs.Denied if the fencing write is needed and the author may not change the
// record.
func (p *Publisher) Resolve(ctx context.Context, ref ChangeRef, author string, settle bool) (Outcome, error) {
	current, err := p.read(ctx, ref.Key)
	if err != nil {
		return Outcome{}, err
	}
	out := outcomeFromHistory(ref, current)
	if out.Verdict != NotKnown || !settle {
		return out, nil
	}
	if !p.mayChange(author, current.Record) {
		return Outcome{}, errs.New(errs.Denied, "ask an owner", "%s is owned by %v, not by %s", ref.Key, current.Record.Owners, author)
	}
	fence := recordWrite{ref: ChangeRef{ID: uuid.New(), Key: ref.Key, Base: current.Revision}, author: author}
	settled, err := p.write(ctx, current, fence, func(next *profile.Record) error {
		next.Deleted = next.Deleted || current.Record == nil
		next.Deleting = false
		next.Proposed = ""
		return nil
	})
	if err != nil || settled.Verdict == NotKnown {
		return out, err
	}
	current, err = p.read(ctx, ref.Key)
	if err != nil {
		return out, nil
	}
	return outcomeFromHistory(ref, current), nil
}
