package profile

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of hash buckets for the keys of a catalog. With
// buckets, two nodes can find their differences without listing every key.
const NumBuckets = 64

// Sum returns a hash over all held versions. Two catalogs with the same records have
// the same sum.
func (c *Catalog) Sum() uint64 {
	var buf [8 * NumBuckets]byte
	for i, sum := range c.bucketSums {
		binary.LittleEndian.PutUint64(buf[8*i:], sum)
	}
	return xxhash.Sum64(buf[:])
}

// BucketSums returns, for each bucket, a hash over the versions held in it.
func (c *Catalog) BucketSums() [NumBuckets]uint64 { return c.bucketSums }

// Bucket returns the versions held in one bucket, ordered by revision.
func (c *Catalog) Bucket(bucket int) []Version {
	var versions []Version
	for key, h := range c.records {
		if bucketOf(key) == bucket {
			versions = append(versions, h.Version)
		}
	}
	slices.SortFunc(versions, compareVersions)
	return versions
}

// putRecord stores a record and updates the sum of its bucket.
func (c *Catalog) putRecord(key string, revision uint64, value []byte, malformed bool) {
	h := HeldRecord{Version: Version{key, revision, xxhash.Sum64(value)}, Value: value, Malformed: malformed}
	sum := &c.bucketSums[bucketOf(key)]
	if old, known := c.records[key]; known {
		*sum ^= hashVersion(old.Version)
	}
	*sum ^= hashVersion(h.Version)
	c.records[key] = h
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % NumBuckets) }

func hashVersion(v Version) uint64 {
	buf := binary.LittleEndian.AppendUint64([]byte(v.Key), v.Revision)
	buf = binary.LittleEndian.AppendUint64(buf, v.Hash)
	return xxhash.Sum64(buf)
}

func compareVersions(x, y Version) int {
	return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key))
}
