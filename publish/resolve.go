package publish

import (
	"context"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// conclude says what a record proves about a change. Accepted: the change is in
// the history. NotApplied: another change has replaced the revision that this
// one was to replace, so that its compare-and-swap can never succeed. NotKnown
// otherwise.
func conclude(ref ChangeRef, now Versioned) Outcome {
	out := Outcome{Verdict: NotKnown, Change: ref, Revision: now.Revision}
	if now.Record == nil {
		out.Detail = "the record does not exist; the write may still arrive"
		return out
	}
	base := ref.Base
	for i, c := range now.Record.History {
		revision := now.RevisionAt(i)
		switch {
		case c.ID == ref.ID:
			return Outcome{Verdict: Accepted, Change: ref, Revision: revision}
		case c.Base != base:
		case c.Prepares != nil && *c.Prepares == ref.ID:
			base = revision // the change itself replaces its preparation
		default:
			out.Verdict = NotApplied
			out.Detail = "change " + c.ID.String() + " by " + c.Author + " came first"
		}
	}
	if out.Verdict == NotApplied {
		return out
	}
	out.Detail = "the write may still arrive"
	if now.Revision != base {
		out.Detail = "the history of the record does not reach back to the change"
	}
	return out
}

// RevisionAt returns the store revision of an entry of the record's history:
// the base of the next one.
func (v Versioned) RevisionAt(i int) uint64 {
	if i+1 < len(v.Record.History) {
		return v.Record.History[i+1].Base
	}
	return v.Revision
}

// orConflict turns any verdict but Accepted into a conflict with the record in
// the store.
func (o Outcome) orConflict(now Versioned) Outcome {
	if o.Verdict == Accepted {
		return o
	}
	return Outcome{Verdict: Conflict, Change: o.Change, Revision: now.Revision, Current: now.Record, Detail: o.Detail}
}

// Resolve reads back what became of a change. With settle, a change that may
// still arrive is kept from arriving: a write that changes nothing in force takes
// its place, or finds that the change has arrived.
func (p *Publisher) Resolve(ctx context.Context, ref ChangeRef, author string, settle bool) (Outcome, error) {
	now, err := p.read(ctx, ref.Key)
	if err != nil {
		return Outcome{}, err
	}
	out := conclude(ref, now)
	if out.Verdict != NotKnown || !settle {
		return out, nil
	}
	if !p.mayChange(author, now.Record) {
		return Outcome{}, errs.New(errs.Denied, "ask an owner", "%s is owned by %v, not by %s", ref.Key, now.Record.Owners, author)
	}
	fence := step{ref: ChangeRef{ID: uuid.New(), Key: ref.Key, Base: now.Revision}, author: author}
	settled, err := p.write(ctx, now, fence, func(next *profile.Record) error {
		next.Deleted = next.Deleted || now.Record == nil
		next.Deleting = false
		next.Proposed = ""
		return nil
	})
	if err != nil || settled.Verdict == NotKnown {
		return out, err
	}
	now, err = p.read(ctx, ref.Key)
	if err != nil {
		return out, nil
	}
	return conclude(ref, now), nil
}
