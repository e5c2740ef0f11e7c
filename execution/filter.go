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

// agingFilter is a Bloom filter of two generations (Bloom, "Space/Time
// Trade-offs in Hash Coding with Allowable Errors", CACM 1970). An attempt that
// was added is found for one to two periods; one that was not added may be
// found by mistake. Memory is taken at the first use.
type agingFilter struct {
	bits    int
	period  time.Duration
	rotated time.Time
	current []uint64
	old     []uint64
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

func (f *agingFilter) has(attempt call.ID, now time.Time) bool {
	f.rotate(now)
	return f.contains(f.current, attempt) || f.contains(f.old, attempt)
}

func (f *agingFilter) contains(words []uint64, attempt call.ID) bool {
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

// position returns the place of the i-th bit of an attempt.
func (f *agingFilter) position(attempt call.ID, i int) (word int, mask uint64) {
	var buf [17]byte
	copy(buf[:], attempt[:])
	buf[16] = byte(i)
	h := xxhash.Sum64(buf[:])
	words := uint64(max(1, f.bits/wordBits))
	return int(h / wordBits % words), 1 << (h % wordBits)
}

// rotate starts a new generation when the period has passed.
func (f *agingFilter) rotate(now time.Time) {
	age := now.Sub(f.rotated)
	if age < f.period {
		return
	}
	f.old = f.current
	if age >= 2*f.period {
		f.old = nil
	}
	f.current = nil
	f.rotated = now
}
