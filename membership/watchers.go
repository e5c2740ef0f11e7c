package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchConfig holds the settings that decide which nodes watch the store.
type WatchConfig struct {
	// PerRegion is the number of nodes in each region that always watch. With more
	// watchers, changes arrive sooner when one of them fails, at the cost of more
	// calls to the store.
	PerRegion int

	// StaleAfter is how long a node treats state received from other nodes as
	// current. After that, the node watches the store itself. It must exceed the
	// time after which an idle watch returns and the interval at which nodes compare
	// their state.
	StaleAfter time.Duration

	// RankDelay is added to StaleAfter for each node that ranks between the watchers and
	// this one, so that few nodes of a region call a store that answers nobody. With a shorter
	// delay, a region whose watchers were turned away by the store, and which no other
	// region tells of changes, learns of them sooner.
	RankDelay time.Duration

	// GatherDelay is the time between the end of a watch that returned changes and
	// the next one. While many records change, as when a fleet starts, a watch then
	// returns several changes instead of one. A longer delay needs fewer calls; the
	// second of two changes arrives later by up to this time.
	GatherDelay time.Duration

	// AloneDelay is how long after its start a node that knows no other member and has
	// no record yet waits before it watches. When a whole fleet starts for the first
	// time, no node knows its rank, and each watch of each node returns with the first
	// records of the others. A longer delay needs fewer calls; a node that really is
	// alone learns of changes later during this time.
	AloneDelay time.Duration
}

// DefaultWatchConfig returns settings for changes that must be in force within 2.5 s.
func DefaultWatchConfig() WatchConfig {
	return WatchConfig{PerRegion: 1, StaleAfter: 1600 * time.Millisecond, RankDelay: 700 * time.Millisecond, GatherDelay: 100 * time.Millisecond, AloneDelay: 2 * time.Second}
}

// Rank returns the number of live members of the region that precede the node id in
// an order that is the same on all nodes.
func Rank(members []Member, region, id string) int {
	ownHash := xxhash.Sum64String(id)
	rank := 0
	for i := range members {
		m := &members[i]
		if m.Region == region && m.State == Alive && m.ID != id && xxhash.Sum64String(m.ID) < ownHash {
			rank++
		}
	}
	return rank
}

// AwaitOthers reports whether a node without a record, which started at the given time
// and knows that many members, should not watch yet.
func (c WatchConfig) AwaitOthers(members int, registered bool, started, now time.Time) bool {
	return members == 0 && !registered && now.Sub(started) < c.AloneDelay
}

// ShouldWatch reports whether a node of the given rank should watch the store.
// lastAnswer is the latest time at which the store is known to have answered any
// node.
func (c WatchConfig) ShouldWatch(rank int, lastAnswer, now time.Time) bool {
	if rank < c.PerRegion {
		return true
	}
	return now.Sub(lastAnswer) > c.StaleAfter+time.Duration(rank-c.PerRegion)*c.RankDelay
}
