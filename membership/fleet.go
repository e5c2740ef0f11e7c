package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// Config holds the settings of a Fleet.
type Config struct {
	// LapsedRetention is how long a member without a record may still be called. A
	// lease can expire while the store is unreachable and the member still works.
	// A longer time keeps more dead members, and each costs a failed call.
	LapsedRetention time.Duration
}

// DefaultConfig returns a retention longer than an outage of a few seconds that
// only one node sees.
func DefaultConfig() Config { return Config{LapsedRetention: 15 * time.Second} }

// Fleet holds the members known to a node. It is not safe for concurrent use.
type Fleet struct {
	cfg     Config
	members map[string]*memberEntry // by record key
	version uint64
}

type memberEntry struct {
	Member
	lapsedAt time.Time
}

// NewFleet returns an empty fleet.
func NewFleet(cfg Config) *Fleet { return &Fleet{cfg: cfg, members: map[string]*memberEntry{}} }

// Put stores a member whose record is present in the store. It reports whether the
// member has joined: it was unknown, had another ID or had lapsed.
func (f *Fleet) Put(key string, m Member) (joined bool) {
	old := f.members[key]
	if old != nil && isSameAfterRestore(&old.Member, &m) {
		return false
	}
	f.version++
	f.members[key] = &memberEntry{Member: m}
	return old == nil || old.ID != m.ID || old.State != Alive
}

// isSameAfterRestore reports whether a record differs from the known one only by a
// revision of a newer era. All records get such revisions when the store was restored;
// the member has not announced itself anew.
func isSameAfterRestore(old, m *Member) bool {
	same := *m
	same.Revision = old.Revision
	return same == *old && store.Era(m.Revision) > store.Era(old.Revision)
}

// Remove marks the member of a record as lapsed after the record was deleted from
// the store. It returns false if the member is unknown or has already lapsed.
func (f *Fleet) Remove(key string, now time.Time) (Member, bool) {
	e := f.members[key]
	if e == nil || e.State == Lapsed {
		return Member{}, false
	}
	f.version++
	e.State = Lapsed
	e.lapsedAt = now
	return e.Member, true
}

// Expire removes members that lapsed at least LapsedRetention ago and returns them.
func (f *Fleet) Expire(now time.Time) []Member {
	var expired []Member
	for key, e := range f.members {
		if e.State == Lapsed && now.Sub(e.lapsedAt) >= f.cfg.LapsedRetention {
			delete(f.members, key)
			expired = append(expired, e.Member)
			f.version++
		}
	}
	return expired
}

// Version increases with each change.
func (f *Fleet) Version() uint64 { return f.version }

// All returns all members, alive and lapsed, ordered by ID.
func (f *Fleet) All() []Member {
	all := make([]Member, 0, len(f.members))
	for _, e := range f.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
