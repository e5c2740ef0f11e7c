package publish

import (
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// Verdict is what an operator hears about a change.
type Verdict string

// Verdicts.
const (
	Accepted   Verdict = "accepted"    // in the store, and never undone but by a later change
	Conflict   Verdict = "conflict"    // not applied: another change came first
	NotApplied Verdict = "not_applied" // proved that it never will be applied
	NotKnown   Verdict = "not_known"   // may have been applied, or may still be
)

// ChangeRef names a change so that it can be resolved later.
type ChangeRef struct {
	ID   uuid.UUID
	Key  string // store key of the record
	Base uint64 // store revision that the change was to replace
}

// String returns the reference as operators see it: "ID:BASE:KEY".
func (r ChangeRef) String() string {
	return r.ID.String() + ":" + strconv.FormatUint(r.Base, 10) + ":" + r.Key
}

// MarshalText returns String.
func (r ChangeRef) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (r *ChangeRef) UnmarshalText(text []byte) error {
	parsed, err := ParseChangeRef(string(text))
	if err == nil {
		*r = parsed
	}
	return err
}

// ParseChangeRef reads a reference. The error is of kind errs.Invalid.
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

// Outcome is the verdict on a change with what it rests on.
type Outcome struct {
	Verdict Verdict   `json:"verdict"`
	Change  ChangeRef `json:"change"`
	// Revision is the store revision of an accepted change, and of Current
	// otherwise.
	Revision uint64 `json:"revision,omitempty"`
	// Current is what is in the store after a conflict, nil if it is absent or
	// could not be read.
	Current *profile.Record `json:"current,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}
