package publish

import (
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// Verdict is the result of a change as reported to its author.
type Verdict string

// Verdicts.
const (
	Accepted   Verdict = "accepted"    // stored; only a later change can replace it
	Conflict   Verdict = "conflict"    // not applied, because another change was applied first
	NotApplied Verdict = "not_applied" // not applied, and it never can be
	NotKnown   Verdict = "not_known"   // may have been applied already, or may still be applied
)

// ChangeRef identifies a change. It is all that Resolve needs to find its outcome.
type ChangeRef struct {
	ID   uuid.UUID
	Key  string // store key of the record
	Base uint64 // store revision that the change replaces
}

// String returns the reference in the form that operators use, "ID:BASE:KEY".
func (r ChangeRef) String() string {
	return r.ID.String() + ":" + strconv.FormatUint(r.Base, 10) + ":" + r.Key
}

// MarshalText implements encoding.TextMarshaler. The text is that of String.
func (r ChangeRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *ChangeRef) UnmarshalText(text []byte) error {
	parsed, err := ParseChangeRef(string(text))
	if err == nil {
		*r = parsed
	}
	return err
}

// ParseChangeRef parses the text that String returns. The error is of kind errs.Invalid.
func ParseChangeRef(text string) (ChangeRef, error) {
	const remedy = "give the reference that the change printed, ID:BASE:KEY"
	parts := strings.SplitN(text, ":", 3)
	if len(parts) != 3 {
		return ChangeRef{}, errs.New(errs.Invalid, remedy, "change reference %q", text)
	}
	id, err := uuid.Parse(parts[0])
	if err != nil {
		return ChangeRef{}, errs.Wrap(err, errs.Invalid, remedy, "change reference %q", text)
	}
	base, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ChangeRef{}, errs.Wrap(err, errs.Invalid, remedy, "change reference %q", text)
	}
	if _, _, ok := profile.SplitKey(parts[2]); !ok {
		return ChangeRef{}, errs.New(errs.Invalid, remedy, "change reference %q", text)
	}
	return ChangeRef{ID: id, Key: parts[2], Base: base}, nil
}

// Outcome is the verdict on a change, with the details that explain it.
type Outcome struct {
	Verdict Verdict   `json:"verdict"`
	Change  ChangeRef `json:"change"`
	// Revision is the store revision of an accepted change, and of Current
	// otherwise.
	Revision uint64 `json:"revision,omitempty"`
	// Current is the stored record that caused a conflict, nil if there is none
	// or it could not be read.
	Current *profile.Record `json:"current,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}
