package profile

import (
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// ApplyResult is what Catalog.Apply did with a record.
type ApplyResult uint8

// Results of Catalog.Apply.
const (
	Stale     ApplyResult = iota + 1 // ignored: the held revision is the same or higher
	Stored                           // a profile, which takes effect for the services bound to it
	InForce                          // a binding or teams that are now in force, or were deleted
	Pending                          // a binding that waits for the required revision of its profile
	Malformed                        // unreadable: kept for other nodes, while the last valid record stays in force
)

var applyResultNames = [...]string{"unset", "stale", "stored", "in_force", "pending", "malformed"}

// String returns the name used in logs.
func (a ApplyResult) String() string {
	if int(a) < len(applyResultNames) {
		return applyResultNames[a]
	}
	return "unset"
}

// Version identifies the copy of a record that a catalog holds.
type Version struct {
	Key      string
	Revision uint64
	Hash     uint64 // hash of the value, so that a malformed copy is detected
}

// HeldRecord is a record in the form that is sent to other nodes.
type HeldRecord struct {
	Version
	Value     []byte // as returned by Compact; empty after a deletion
	Malformed bool   // this node cannot read the value
}

// Catalog holds the records that a node has received, and decides which profile is in
// force for each service. It is not safe for concurrent use.
type Catalog struct {
	records    map[string]HeldRecord
	profiles   map[string]*profileState
	services   map[string]*serviceState
	teams      *team.Registry // nil: no API keys are asked for
	bucketSums [NumBuckets]uint64
	snapshot   *Snapshot // cached; nil after a change
}

// profileState is the last valid state of a profile.
type profileState struct {
	revision uint64
	profile  *Profile // nil if deleted
	ignored  []string
}

// serviceState is the last valid binding of a service and the profile in force.
type serviceState struct {
	latestRevision  uint64   // revision of the latest valid binding or deletion
	latestBinding   *Record  // latest valid binding; nil if deleted
	activeName      string   // name of the profile in force; "" if there is none
	bindingRevision uint64   // revision of the binding in force
	profile         *Profile // profile in force; nil if there is none
	profileRevision uint64   // revision of the profile in force
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{
		records:  make(map[string]HeldRecord),
		profiles: make(map[string]*profileState),
		services: make(map[string]*serviceState),
	}
}

// Apply applies a record that was read from the store or received from another node.
// A record whose revision is not higher than the held one is ignored, unless it
// replaces a malformed copy of the same revision. An empty value is a deletion. For a
// malformed record, Apply returns an error of kind errs.Invalid and leaves the last
// valid record in force.
func (c *Catalog) Apply(key string, revision uint64, value []byte) (ApplyResult, error) {
	kind, name, ok := SplitKey(key)
	if !ok || revision == 0 {
		return Malformed, errs.New(errs.Invalid, "check which keys the store and other nodes send", "invalid key %q or revision %d of a record", key, revision)
	}
	old, known := c.records[key]
	replacesMalformed := known && old.Malformed && old.Revision == revision
	if known && revision <= old.Revision && !replacesMalformed {
		return Stale, nil
	}
	record, err := decodeValue(key, value)
	var profile *Profile
	var ignored []string
	var teams *team.Registry
	switch {
	case err != nil || record.Deleted:
	case kind == KindProfile:
		profile, ignored, err = ParseLenient(name, []byte(record.Body))
	case kind == KindTeams:
		teams, err = team.ParseRegistry([]byte(record.Body), team.FromStore)
	}
	if err != nil && replacesMalformed {
		return Stale, nil
	}
	c.putRecord(key, revision, Compact(value), err != nil)
	if err != nil {
		return Malformed, err
	}
	c.snapshot = nil
	switch kind {
	case KindProfile:
		c.applyProfile(name, &profileState{revision: revision, profile: profile, ignored: ignored})
		return Stored, nil
	case KindTeams:
		// Only a record that says so deletes the teams: if its key is gone from the store,
		// the node must not serve everyone.
		if len(value) > 0 {
			c.teams = teams
			c.snapshot = nil
		}
		return InForce, nil
	}
	return c.applyBinding(name, revision, record), nil
}

// decodeValue decodes a record. An empty value decodes to a deleted record.
func decodeValue(key string, value []byte) (*Record, error) {
	if len(value) == 0 {
		return &Record{Deleted: true}, nil
	}
	return DecodeRecord(key, value)
}

func (c *Catalog) applyProfile(name string, p *profileState) {
	c.profiles[name] = p
	for _, s := range c.services {
		if s.activeName == name || (s.latestBinding != nil && s.latestBinding.Profile == name) {
			c.activate(s)
		}
	}
}

func (c *Catalog) applyBinding(name string, revision uint64, record *Record) ApplyResult {
	s := c.services[name]
	if s == nil {
		s = &serviceState{}
		c.services[name] = s
	}
	s.latestRevision = revision
	if record.Deleted {
		*s = serviceState{latestRevision: revision}
		return InForce
	}
	s.latestBinding = record
	c.activate(s)
	if s.bindingRevision != revision {
		return Pending
	}
	return InForce
}

// activate puts the latest binding into force if the required revision of its profile
// has arrived. It then switches to the latest revision of the profile in force, also
// while the latest binding is pending. A profile whose record was deleted stays in force.
func (c *Catalog) activate(s *serviceState) {
	if s.latestBinding != nil && s.bindingRevision != s.latestRevision {
		p := c.profiles[s.latestBinding.Profile]
		if p != nil && p.profile != nil && p.revision >= s.latestBinding.Needs {
			s.activeName = s.latestBinding.Profile
			s.bindingRevision = s.latestRevision
		}
	}
	p := c.profiles[s.activeName]
	if p != nil && p.profile != nil {
		s.profile = p.profile
		s.profileRevision = p.revision
	}
}

// NeedsCopy reports whether another node's copy of a record may replace the held one.
func (c *Catalog) NeedsCopy(v Version) bool {
	h, known := c.records[v.Key]
	return !known || v.Revision > h.Revision || (v.Revision == h.Revision && h.Malformed && v.Hash != h.Hash)
}

// Ignored returns the sections and keys of a profile that this node ignores because
// they are unknown to its version of the program.
func (c *Catalog) Ignored(name string) []string {
	if p := c.profiles[name]; p != nil {
		return p.ignored
	}
	return nil
}

// Lookup returns the held record of a key.
func (c *Catalog) Lookup(key string) (HeldRecord, bool) {
	h, ok := c.records[key]
	return h, ok
}

// All returns every held record, ordered by revision.
func (c *Catalog) All() []HeldRecord {
	all := make([]HeldRecord, 0, len(c.records))
	for _, h := range c.records {
		all = append(all, h)
	}
	slices.SortFunc(all, func(x, y HeldRecord) int { return compareVersions(x.Version, y.Version) })
	return all
}

// HighestRevision returns the highest revision held.
func (c *Catalog) HighestRevision() uint64 {
	var highest uint64
	for _, h := range c.records {
		highest = max(highest, h.Revision)
	}
	return highest
}
