package profile

import (
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Applied says what Book.Apply did with a record.
type Applied uint8

// Results of Book.Apply.
const (
	Stale     Applied = iota + 1 // the held revision is as high or higher
	Stored                       // taken, and in force if it is a profile
	InForce                      // a binding that came into force
	Pending                      // a binding that waits for its profile
	Malformed                    // kept for other nodes; the last good record stays in force
)

var appliedNames = [...]string{"unset", "stale", "stored", "in_force", "pending", "malformed"}

// String returns the name used in logs.
func (a Applied) String() string {
	if int(a) < len(appliedNames) {
		return appliedNames[a]
	}
	return "unset"
}

// Version names the copy of a record that a book holds.
type Version struct {
	Key      string
	Revision uint64
	Hash     uint64 // of the value, so that a broken copy is noticed
}

// Held is a record in the form in which it is passed on to other nodes.
type Held struct {
	Version
	Value []byte // as Compact returns it; empty after a deletion
	Bad   bool   // this node cannot read the value
}

// Catalog holds the records that a node has learned, and decides which profile is
// in force for each service. It is not safe for concurrent use.
type Catalog struct {
	held     map[string]Held
	profiles map[string]*heldProfile
	services map[string]*heldService
	sums     [NumBuckets]uint64
	snapshot *Snapshot // nil after a change
}

// heldProfile is the last good state of a profile.
type heldProfile struct {
	revision uint64
	profile  *Profile // nil if deleted
	ignored  []string
}

// heldService is the last good binding of a service and what is in force.
type heldService struct {
	revision uint64
	record   *Record // the latest good binding; nil if deleted
	source   string  // name of the profile in force; "" if none is
	sourceAt uint64  // revision of the binding in force
	profile  *Profile
	at       uint64 // revision of the profile in force
}

// NewCatalog returns an empty book.
func NewCatalog() *Catalog {
	return &Catalog{
		held:     make(map[string]Held),
		profiles: make(map[string]*heldProfile),
		services: make(map[string]*heldService),
	}
}

// Apply takes a record that was read from the store or received from another
// node. A record whose revision is not higher than the held one changes
// nothing, except that it replaces a malformed one of the same revision. An
// empty value marks a deletion. A malformed record is reported with an error of
// kind errs.Invalid and leaves the last good one in force.
func (b *Catalog) Apply(key string, revision uint64, value []byte) (Applied, error) {
	kind, name, ok := SplitKey(key)
	if !ok || revision == 0 {
		return Malformed, errs.New(errs.Invalid, "check which keys are spread", "record %q of revision %d", key, revision)
	}
	old, known := b.held[key]
	repairs := known && old.Bad && old.Revision == revision
	if known && revision <= old.Revision && !repairs {
		return Stale, nil
	}
	record, err := decodeHeld(key, value)
	var profile *Profile
	var ignored []string
	if err == nil && kind == KindProfile && !record.Deleted {
		profile, ignored, err = ParseLenient(name, []byte(record.Body))
	}
	if err != nil && repairs {
		return Stale, nil
	}
	b.hold(key, revision, Compact(value), err != nil)
	if err != nil {
		return Malformed, err
	}
	b.snapshot = nil
	if kind == KindProfile {
		b.applyProfile(name, &heldProfile{revision: revision, profile: profile, ignored: ignored})
		return Stored, nil
	}
	return b.applyBinding(name, revision, record), nil
}

// decodeHeld reads a record, or a deletion marker from an empty value.
func decodeHeld(key string, value []byte) (*Record, error) {
	if len(value) == 0 {
		return &Record{Deleted: true}, nil
	}
	return DecodeRecord(key, value)
}

func (b *Catalog) applyProfile(name string, p *heldProfile) {
	b.profiles[name] = p
	for _, s := range b.services {
		if s.source == name || (s.record != nil && s.record.Profile == name) {
			b.refresh(s)
		}
	}
}

func (b *Catalog) applyBinding(name string, revision uint64, record *Record) Applied {
	s := b.services[name]
	if s == nil {
		s = &heldService{}
		b.services[name] = s
	}
	s.revision = revision
	if record.Deleted {
		*s = heldService{revision: revision}
		return InForce
	}
	s.record = record
	b.refresh(s)
	if s.sourceAt != revision {
		return Pending
	}
	return InForce
}

// refresh puts the latest binding into force if its profile has arrived, and
// then the latest revision of the profile in force. The profile of a deleted
// record stays in force.
func (b *Catalog) refresh(s *heldService) {
	if s.record != nil && s.sourceAt != s.revision {
		p := b.profiles[s.record.Profile]
		if p != nil && p.profile != nil && p.revision >= s.record.Needs {
			s.source = s.record.Profile
			s.sourceAt = s.revision
		}
	}
	p := b.profiles[s.source]
	if p != nil && p.profile != nil {
		s.profile = p.profile
		s.at = p.revision
	}
}

// Wants says whether another node's copy of a record may replace the held one.
func (b *Catalog) Wants(v Version) bool {
	h, known := b.held[v.Key]
	return !known || v.Revision > h.Revision || (v.Revision == h.Revision && h.Bad && v.Hash != h.Hash)
}

// Ignored lists the sections and keys of a profile that belong to a newer
// version of the program and are not in force at this node.
func (b *Catalog) Ignored(name string) []string {
	if p := b.profiles[name]; p != nil {
		return p.ignored
	}
	return nil
}

// Held returns the record of a key.
func (b *Catalog) Held(key string) (Held, bool) {
	h, ok := b.held[key]
	return h, ok
}

// All returns every held record, ordered by revision.
func (b *Catalog) All() []Held {
	all := make([]Held, 0, len(b.held))
	for _, h := range b.held {
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y Held) int { return compareVersions(x.Version, y.Version) })
	return all
}

// Highest returns the highest revision held.
func (b *Catalog) Highest() uint64 {
	var highest uint64
	for _, h := range b.held {
		highest = max(highest, h.Revision)
	}
	return highest
}
