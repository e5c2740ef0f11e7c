package store

// A store that was restored from an older copy gives out revisions again. It counts
// its restorations in an era. The revisions of this package hold both: the era in the
// high bits and the counter of the store in the low ones, so that comparing two of them
// compares the eras first. A store that reports no era has era 0, and its revisions
// equal its counter.

// counterBits is the number of bits for the counter. Together with an era of up to
// MaxEra they fit into the 53 bits that every JSON reader keeps exactly.
const counterBits = 40

// Limits of the parts of a revision.
const (
	MaxEra     = 1<<13 - 1
	MaxCounter = 1<<counterBits - 1
)

// JoinRevision returns the revision with the given era and counter. A counter of 0,
// which stands for no revision, gives 0 in every era.
func JoinRevision(era, counter uint64) uint64 {
	if counter == 0 {
		return 0
	}
	return min(era, MaxEra)<<counterBits | min(counter, MaxCounter)
}

// SplitRevision returns the era and the counter of a revision.
func SplitRevision(revision uint64) (era, counter uint64) {
	return revision >> counterBits, revision & MaxCounter
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> counterBits }
