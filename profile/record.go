package profile

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Kind says what a record holds. It is also the first part of the record's key.
type Kind string

// Kinds of records.
const (
	KindProfile Kind = "profiles" // a profile
	KindService Kind = "services" // the binding of a service to a profile
)

// Prefix returns the prefix of the keys of this kind.
func (k Kind) Prefix() string { return string(k) + "/" }

// Key returns the store key of a record.
func (k Kind) Key(name string) string { return k.Prefix() + name }

// SplitKey returns the kind and the name of a store key.
func SplitKey(key string) (Kind, string, bool) {
	kind, name, ok := strings.Cut(key, "/")
	k := Kind(kind)
	if !ok || (k != KindProfile && k != KindService) || !ValidName(name) {
		return "", "", false
	}
	return k, name, true
}

// Change identifies one change of a record.
type Change struct {
	ID     uuid.UUID `json:"id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Base is the store revision that the change replaced; 0 is an absent key.
	// Revisions of a key form one chain, so no two changes have the same base.
	Base uint64 `json:"base"`
	// Prepares is the change that this one makes ready; nil for any other.
	Prepares *uuid.UUID `json:"prepares,omitempty"`
}

// Record is the value of a store key: what is in force, and the changes that
// led there. Unknown fields of a newer version are ignored.
type Record struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Change Change `json:"change"` // the latest change

	// History holds the latest changes, oldest first, with Change at the end.
	History []Change `json:"history,omitempty"`

	// Owners are the names of the credentials that may change the record.
	Owners []string `json:"owners,omitempty"`

	// Deleted marks a record that is no longer in force. It stays in the store
	// so that its revision and history outlive it.
	Deleted bool `json:"deleted,omitempty"`

	// Deleting marks a profile to which no service may be bound any more, while
	// it is still in force.
	Deleting bool `json:"deleting,omitempty"`

	// Body is the INI text of a profile, and Previous the text before it.
	Body     string `json:"body,omitempty"`
	Previous string `json:"previous,omitempty"`

	// Profile is the profile of a binding, and Needs the lowest store revision
	// of that profile with which the binding may come into force.
	Profile string `json:"profile,omitempty"`
	Needs   uint64 `json:"needs,omitempty"`

	// Proposed is the profile of a binding that is being made ready and is not
	// in force yet.
	Proposed string `json:"proposed,omitempty"`
}

// Encode returns the record as a store value.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report the fault", "encode record %s", r.Kind.Key(r.Name))
	}
	return value, nil
}

// storeOnly are the fields of a record that no node needs.
var storeOnly = []string{"history", "previous", "owners", "proposed", "deleting"}

// Compact returns a store value in the form that is passed between nodes,
// without the fields that only a publisher needs. It keeps the fields of a newer
// version, and a value that is malformed as it is.
func Compact(value []byte) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil {
		return bytes.Clone(value)
	}
	for _, name := range storeOnly {
		delete(fields, name)
	}
	compact, err := json.Marshal(fields) // in the order of the names
	if err != nil {
		return bytes.Clone(value)
	}
	return compact
}

// DecodeRecord reads the value of a key. The error is of kind errs.Invalid.
func DecodeRecord(key string, value []byte) (*Record, error) {
	const remedy = "publish the record again"
	kind, name, ok := SplitKey(key)
	if !ok {
		return nil, errs.New(errs.Invalid, "use profiles/NAME or services/NAME", "key %q holds no record", key)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, remedy, "decode record %q", key)
	}
	if r.Kind != kind || r.Name != name {
		return nil, errs.New(errs.Invalid, remedy, "key %q holds the record %q", key, r.Kind.Key(r.Name))
	}
	if kind == KindService && !r.Deleted && !ValidName(r.Profile) {
		return nil, errs.New(errs.Invalid, remedy, "binding %q names the profile %q", key, r.Profile)
	}
	return &r, nil
}
