package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// jitter returns a random duration between half and one and a half of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

// sortedKeys returns the keys of m in order, so that runs can be repeated.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// sortedEntries returns the entries of m in the order of their ids.
func sortedEntries(m map[string]*entry) []*entry {
	list := make([]*entry, 0, len(m))
	for _, id := range sortedKeys(m) {
		list = append(list, m[id])
	}
	return list
}

// first returns the first entry, or nil.
func first(list []*entry) *entry {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}
