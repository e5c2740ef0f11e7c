package membership

import (
	"cmp"
	"slices"
	"time"
)

// Config sets how long members are kept whose record is gone.
type Config struct {
	// LapsedKeep is how long a member without a record may still be called. A
	// lease can lapse while the store cannot be reached and the member works; a
	// longer time keeps more dead members, which cost a failed call each.
	LapsedKeep time.Duration
}

// DefaultConfig keeps lapsed members for longer than an outage of some seconds
// that is seen by one node only.
func DefaultConfig() Config { return Config{LapsedKeep: 15 * time.Second} }

// Fleet holds the members by the key of their record. It is not safe for
// concurrent use.
type Fleet struct {
	cfg     Config
	members map[string]*held // by key
	version uint64
}

type held struct {
	Member
	lapsedAt time.Time
}

// NewFleet returns a fleet without members.
func NewFleet(cfg Config) *Fleet { return &Fleet{cfg: cfg, members: map[string]*held{}} }

// Put takes a record that is present in the store. It reports whether the member
// was not known as alive under this id before.
func (f *Fleet) Put(key string, m Member) (joined bool) {
	f.version++
	old := f.members[key]
	f.members[key] = &held{Member: m}
	return old == nil || old.ID != m.ID || old.State != Alive
}

// Remove takes the news that a record is gone from the store.
func (f *Fleet) Remove(key string, now time.Time) (Member, bool) {
	h := f.members[key]
	if h == nil || h.State == Lapsed {
		return Member{}, false
	}
	f.version++
	h.State = Lapsed
	h.lapsedAt = now
	return h.Member, true
}

// Expire forgets members that lapsed long ago and returns them.
func (f *Fleet) Expire(now time.Time) []Member {
	var gone []Member
	for key, h := range f.members {
		if h.State == Lapsed && now.Sub(h.lapsedAt) >= f.cfg.LapsedKeep {
			delete(f.members, key)
			gone = append(gone, h.Member)
			f.version++
		}
	}
	return gone
}

// Version rises with each change.
func (f *Fleet) Version() uint64 { return f.version }

// All returns the members ordered by id.
func (f *Fleet) All() []Member {
	all := make([]Member, 0, len(f.members))
	for _, h := range f.members {
		all = append(all, h.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
