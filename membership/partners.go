package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the members of a region that watch the store because they rank first.
func (c WatchConfig) Watchers(members []Member, region string) []Member {
	type ranked struct {
		hash   uint64
		member *Member
	}
	var first []ranked // ordered by hash, at most PerRegion
	for i := range members {
		m := &members[i]
		if m.Region != region || m.State != Alive {
			continue
		}
		r := ranked{xxhash.Sum64String(m.ID), m}
		at, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int {
			if a.hash < b.hash {
				return -1
			}
			return 1
		})
		if at >= c.PerRegion {
			continue
		}
		first = slices.Insert(first, at, r)
		first = first[:min(len(first), c.PerRegion)]
	}
	watchers := make([]Member, 0, len(first))
	for _, r := range first {
		watchers = append(watchers, *r.member)
	}
	return watchers
}

// SyncPartners returns the members among which a node chooses the one to compare its
// state with: the watchers of its region every other round, otherwise all members of its
// region. Traffic between regions is billed, and each region has watchers of its own, so
// members of other regions are included only if the store has answered nobody for
// StaleAfter, as far as the node knows, or if there are no others. self is the ID of the
// node, and age the time since the store is last known to have answered.
func (c WatchConfig) SyncPartners(members []Member, self, region string, round int, age time.Duration) []Member {
	others := func(list []Member, inRegion bool) []Member {
		var out []Member
		for _, m := range list {
			if m.ID != self && (!inRegion || m.Region == region) {
				out = append(out, m)
			}
		}
		return out
	}
	if round%2 == 0 {
		if watchers := others(c.Watchers(members, region), true); len(watchers) > 0 {
			return watchers
		}
	}
	if age <= c.StaleAfter {
		if near := others(members, true); len(near) > 0 {
			return near
		}
	}
	return others(members, false)
}
