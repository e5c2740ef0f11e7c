package execution

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type scoredMember struct {
	name  string
	score uint64
}

// compareMembers orders members from the highest score to the lowest.
func compareMembers(a, b scoredMember) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return strings.Compare(a.name, b.name)
}

// Holders returns the k members that hold an idempotency key, highest score first,
// by rendezvous hashing (Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996). The order of members does not matter and duplicate names
// count once; with fewer than k members, all are returned. Two views of the
// members that differ by fewer than k names share at least one holder.
func Holders(key string, members []string, k int) []string {
	best := make([]scoredMember, 0, k+1)
	var d xxhash.Digest
	for _, m := range members {
		best = insertMember(best, scoredMember{m, memberScore(&d, key, m)}, k)
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	return names
}

// memberScore returns the rendezvous hash of a member for a key.
func memberScore(d *xxhash.Digest, key, member string) uint64 {
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// insertMember inserts m into best, which holds the k members with the highest
// scores in order. It ignores duplicates.
func insertMember(best []scoredMember, m scoredMember, k int) []scoredMember {
	i, found := slices.BinarySearchFunc(best, m, compareMembers)
	if found || i >= k {
		return best
	}
	best = slices.Insert(best, i, m)
	return best[:min(len(best), k)]
}
