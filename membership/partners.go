package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the members of a region that watch the store because they rank first.
func (c WatchConfig) Watchers(members []Member, region string) []Member {
	var first []Member // in order of rank, at most PerRegion
	for _, m := range members {
		if m.Region != region || m.State != Alive {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, m, compareRanks)
		if at < c.PerRegion {
			first = slices.Insert(first, at, m)
			first = first[:min(len(first), c.PerRegion)]
		}
	}
	return first
}

// compareRanks orders members of a region as Rank does.
func compareRanks(a, b Member) int {
	return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
}

// SyncPartners returns the members among which a node chooses the one to compare its
// state with: the watchers of its region every other round, otherwise all members of its
// region. Traffic between regions is billed, and each region has watchers of its own, so
// members of other regions are included only if the store has answered nobody for
// StaleAfter, as far as the node knows, or if there are no others. self is the ID of the
// node, and age the time since the store is last known to have answered.
func (c WatchConfig) SyncPartners(members []Member, self, region string, round int, age time.Duration) []Member {
	if round%2 == 0 {
		if watchers := without(self, c.Watchers(members, region)); len(watchers) > 0 {
			return watchers
		}
	}
	others := without(self, members)
	if age > c.StaleAfter {
		return others
	}
	var near []Member
	for _, m := range others {
		if m.Region == region {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return others
}

// without returns the members other than the one with an ID.
func without(id string, members []Member) []Member {
	var others []Member
	for _, m := range members {
		if m.ID != id {
			others = append(others, m)
		}
	}
	return others
}
