package profile

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Kind is the type of a record. It is also the first part of the record's key.
type Kind string

// Kinds of records.
const (
	KindProfile Kind = "profiles" // a profile
	KindService Kind = "services" // the binding of a service to a profile
	KindTeams   Kind = "teams"    // all teams, in one record
)

// TeamsName is the name of the only record of KindTeams, so that teams and keys change in
// one step.
const TeamsName = "all"

// Prefix returns the prefix of the keys of this kind.
func (k Kind) Prefix() string { return string(k) + "/" }

// Key returns the store key of a record.
func (k Kind) Key(name string) string { return k.Prefix() + name }

// SplitKey returns the kind and the name in a store key, and false if the key is not
// that of a record.
func SplitKey(key string) (Kind, string, bool) {
	kind, name, ok := strings.Cut(key, "/")
	k := Kind(kind)
	switch {
	case !ok, !ValidName(name), k != KindProfile && k != KindService && k != KindTeams, k == KindTeams && name != TeamsName:
		return "", "", false
	}
	return k, name, true
}

// Change identifies one change of a record.
type Change struct {
	ID     uuid.UUID `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Base is the store revision that the change replaced, or 0 if the key did not
	// exist. Each revision of a key is replaced at most once, so no two changes
	// have the same base.
	Base uint64 `json:"base"`
	// Prepares is the ID of the change that this one prepares, or nil if it prepares
	// none.
	Prepares *uuid.UUID `json:"prepares,omitempty"`
}

// Record is the value of a store key: a profile, a binding or the teams, with the latest changes
// that led to it. Unknown fields from a newer version are ignored.
type Record struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Change Change `json:"change"` // the latest change

	// History holds the latest changes, oldest first. The last one equals Change.
	History []Change `json:"history,omitempty"`

	// Owners are the names of the credentials that may change the record.
	Owners []string `json:"owners,omitempty"`

	// Deleted marks a record that is no longer in force. The record stays in the
	// store to preserve its revision and history.
	Deleted bool `json:"deleted,omitempty"`

	// Deleting marks a profile that is still in force, but to which no further
	// service may be bound.
	Deleting bool `json:"deleting,omitempty"`

	// Body is the INI text of a profile or of the teams, with digests of API keys only.
	// Previous is the text of a profile that Body replaced.
	Body     string `json:"body,omitempty"`
	Previous string `json:"previous,omitempty"`

	// Profile is the name of the profile of a binding. Needs is the minimum store
	// revision of that profile for the binding to come into force.
	Profile string `json:"profile,omitempty"`
	Needs   uint64 `json:"needs,omitempty"`

	// Proposed is the profile of a binding that is being prepared and is not in
	// force yet.
	Proposed string `json:"proposed,omitempty"`
}

// Encode returns the record as a store value.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a bug", "encode record %s", r.Kind.Key(r.Name))
	}
	return value, nil
}

// Supersedes reports whether the record value held is a later one of the same key than
// the value other, so that other must be the value of an older copy of the store. An
// empty value stands for an absent key. A value that cannot be read supersedes none, and
// is superseded by any other.
func Supersedes(key string, held, other []byte) bool {
	h, err := DecodeRecord(key, held)
	if err != nil {
		return false
	}
	o, err := DecodeRecord(key, other)
	if err != nil {
		return true
	}
	switch {
	case h.Change.ID == o.Change.ID, hasChange(o.History, h.Change.ID):
		return false
	case hasChange(h.History, o.Change.ID):
		return true
	}
	return h.Change.Time.After(o.Change.Time) // the histories no longer overlap
}

func hasChange(history []Change, id uuid.UUID) bool {
	return slices.ContainsFunc(history, func(c Change) bool { return c.ID == id })
}

// publisherFields are the fields of a record that only publishers need.
var publisherFields = []string{"history", "previous", "owners", "proposed", "deleting"}

// Compact returns a store value in the form that is sent between nodes, without the
// fields that only publishers need. It keeps unknown fields from a newer version, and
// returns a malformed value unchanged.
func Compact(value []byte) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return bytes.Clone(value)
	}
	for _, name := range publisherFields {
		delete(fields, name)
	}
	compact, err := json.Marshal(fields) // with sorted field names, so that equal records have equal hashes
	if err != nil {
		return bytes.Clone(value)
	}
	return compact
}

// DecodeRecord decodes the value of a key. Errors are of kind errs.Invalid.
func DecodeRecord(key string, value []byte) (*Record, error) {
	const remedy = "publish the record again"
	kind, name, ok := SplitKey(key)
	if !ok {
		return nil, errs.New(errs.Invalid, "use profiles/NAME, services/NAME or teams/"+TeamsName, "key %q is not the key of a record", key)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, remedy, "decode record %q", key)
	}
	if r.Kind != kind || r.Name != name {
		return nil, errs.New(errs.Invalid, remedy, "key %q holds a record that belongs to key %q", key, r.Kind.Key(r.Name))
	}
	if kind == KindService && !r.Deleted && !ValidName(r.Profile) {
		return nil, errs.New(errs.Invalid, remedy, "binding %q has the invalid profile name %q", key, r.Profile)
	}
	return &r, nil
}
