package spread

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// compare orders a and b.
func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

// sortedKeys returns the keys of m in order, so that runs can be repeated.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// jitter returns a random duration between half and one and a half of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}

// fieldSize returns the bytes msg takes in a repeated field.
func fieldSize(msg proto.Message) int { return proto.Size(msg) + 4 }

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
