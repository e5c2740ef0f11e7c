package execution

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	filterHashes = 4
	wordBits     = 64
)

// agingFilter is a Bloom filter with two generations (Bloom, "Space/Time
// Trade-offs in Hash Coding with Allowable Errors", CACM 1970). An attempt that
// was added is reported for one to two periods; false positives are possible.
// Memory is allocated on first use.
type agingFilter struct {
	bits      int           // of one generation
	period    time.Duration // after which a new generation starts
	rotatedAt time.Time
	current   []uint64
	previous  []uint64
}

func (f *agingFilter) add(attempt call.ID, now time.Time) {
	f.rotate(now)
	if f.current == nil {
		f.current = make([]uint64, max(1, f.bits/wordBits))
	}
	for i := range filterHashes {
		word, mask := f.position(attempt, i)
		f.current[word] |= mask
	}
}

func (f *agingFilter) mayContain(attempt call.ID, now time.Time) bool {
	f.rotate(now)
	return f.allBitsSet(f.current, attempt) || f.allBitsSet(f.previous, attempt)
}

func (f *agingFilter) allBitsSet(words []uint64, attempt call.ID) bool {
	if words == nil {
		return false
	}
	for i := range filterHashes {
		word, mask := f.position(attempt, i)
		if words[word]&mask == 0 {
			return false
		}
	}
	return true
}

// position returns the word index and the bit mask of the i-th hash of an attempt.
func (f *agingFilter) position(attempt call.ID, i int) (word int, mask uint64) {
	var buf [17]byte
	copy(buf[:], attempt[:])
	buf[16] = byte(i)
	h := xxhash.Sum64(buf[:])
	words := uint64(max(1, f.bits/wordBits))
	return int(h / wordBits % words), 1 << (h % wordBits)
}

// rotate starts a new generation once the period has passed.
func (f *agingFilter) rotate(now time.Time) {
	age := now.Sub(f.rotatedAt)
	if age < f.period {
		return
	}
	f.previous = f.current
	if age >= 2*f.period {
		f.previous = nil
	}
	f.current = nil
	f.rotatedAt = now
}
