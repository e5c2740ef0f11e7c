package wire

import "github.com/dogwoodhatch/dogwoodhatch/store"

// EncodeRevision returns the fields in which a message carries a store revision: its era
// plus 1, and its counter.
func EncodeRevision(revision uint64) (eraPlus1, counter uint64) {
	era, counter := store.SplitRevision(revision)
	return era + 1, counter
}

// DecodeRevision returns the store revision in a message that a node with the revision
// own has received. A node of a build that knows no eras sends 0 as the era plus 1; it is
// taken to be in the era of the receiver.
func DecodeRevision(eraPlus1, counter, own uint64) uint64 {
	if eraPlus1 == 0 {
		return store.JoinRevision(store.Era(own), counter)
	}
	return store.JoinRevision(eraPlus1-1, counter)
}
