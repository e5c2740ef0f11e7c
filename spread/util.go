package spread

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
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

// decode unmarshals b into msg, or returns an error of kind errs.Invalid.
func decode(b []byte, msg proto.Message) error {
	if err := proto.Unmarshal(b, msg); err != nil {
		return errs.Wrap(err, errs.Invalid, "check that the sender is a node of this system", "message of %d bytes", len(b))
	}
	return nil
}

// encode marshals msg, which never fails for the messages of this package.
func encode(msg proto.Message) []byte {
	b, err := proto.Marshal(msg)
	if err != nil {
		return nil
	}
	return b
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
