package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// WatchConfig sets which nodes watch the store.
type WatchConfig struct {
	// PerRegion is the number of nodes of each region that watch at all times.
	// More bring changes sooner when one of them fails, and cost calls.
	PerRegion int

	// Patience is how long a node takes the news of others for current. After it
	// the node reads the store itself. It must exceed the time after which a watch
	// returns by itself and the time between two comparisons of nodes.
	Patience time.Duration

	// Step is the further patience of a node for each one that ranks before it,
	// so that a region without watchers does not turn to the store as one.
	Step time.Duration
}

// DefaultWatchConfig fits changes that must be in force within 2.5 s.
func DefaultWatchConfig() WatchConfig {
	return WatchConfig{PerRegion: 1, Patience: 1600 * time.Millisecond, Step: 20 * time.Millisecond}
}

// Rank returns how many live members of the region come before the node id in an
// order that all nodes agree on.
func Rank(members []Member, region, id string) int {
	own := xxhash.Sum64String(id)
	rank := 0
	for i := range members {
		m := &members[i]
		if m.Region == region && m.State == Alive && m.ID != id && xxhash.Sum64String(m.ID) < own {
			rank++
		}
	}
	return rank
}

// ShouldWatch decides whether a node of that rank watches the store. fresh is the
// latest time at which the store is known to have answered some node.
func (c WatchConfig) ShouldWatch(rank int, fresh, now time.Time) bool {
	if rank < c.PerRegion {
		return true
	}
	return now.Sub(fresh) > c.Patience+time.Duration(rank)*c.Step
}
