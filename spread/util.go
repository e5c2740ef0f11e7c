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

// Bytes that the lower layers add to a datagram and to an exchange.
const (
	headerBytes      = 28
	exchangeOverhead = 200
)

// budget is a token bucket of bytes. Spending may leave it negative, which
// delays later traffic.
type budget struct {
	rate   float64 // bytes per second
	burst  float64
	tokens float64
	at     time.Time
}

func newBudget(rate, burst int, now time.Time) budget {
	return budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
}

// room returns the bytes that may be sent now.
func (b *budget) room(now time.Time) int {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return int(b.tokens)
}

// spend takes n bytes out.
func (b *budget) spend(n int) { b.tokens -= float64(n) }
