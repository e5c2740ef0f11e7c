package profile

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of parts into which a book's keys are hashed, so
// that two nodes find their differences without listing every key.
const NumBuckets = 64

// Sum returns a hash over all held versions; two books with the same records
// have the same sum.
func (b *Catalog) Sum() uint64 {
	var text [8 * NumBuckets]byte
	for i, sum := range b.sums {
		binary.LittleEndian.PutUint64(text[8*i:], sum)
	}
	return xxhash.Sum64(text[:])
}

// BucketSums returns a hash over the held versions of each bucket.
func (b *Catalog) BucketSums() [NumBuckets]uint64 { return b.sums }

// Bucket returns the versions held in one bucket, ordered by revision.
func (b *Catalog) Bucket(bucket int) []Version {
	var versions []Version
	for key, h := range b.held {
		if bucketOf(key) == bucket {
			versions = append(versions, h.Version)
		}
	}
	slices.SortFunc(versions, compareVersions)
	return versions
}

// hold stores a record and keeps the sum of its bucket.
func (b *Catalog) hold(key string, revision uint64, value []byte, bad bool) {
	h := Held{Version: Version{key, revision, xxhash.Sum64(value)}, Value: value, Bad: bad}
	sum := &b.sums[bucketOf(key)]
	if old, known := b.held[key]; known {
		*sum ^= hashVersion(old.Version)
	}
	*sum ^= hashVersion(h.Version)
	b.held[key] = h
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % NumBuckets) }

func hashVersion(v Version) uint64 {
	text := binary.LittleEndian.AppendUint64([]byte(v.Key), v.Revision)
	text = binary.LittleEndian.AppendUint64(text, v.Hash)
	return xxhash.Sum64(text)
}

func compareVersions(x, y Version) int {
	return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key))
}
