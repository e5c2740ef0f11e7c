package spread

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Limits of a record; the store holds values up to a megabyte.
const (
	maxKeyBytes   = 256
	maxValueBytes = 1 << 20
)

// Record is a configuration record with the store revision that wrote it.
type Record struct {
	Key      string
	Revision uint64
	Value    []byte
	Deleted  bool // the key was deleted at Revision
}

// Validate returns an error of kind errs.Invalid if r cannot be spread.
func (r *Record) Validate() error {
	if r.Key == "" || len(r.Key) > maxKeyBytes {
		return errs.New(errs.Invalid, "use a shorter key", "record key has %d bytes, allowed are 1 to %d", len(r.Key), maxKeyBytes)
	}
	if r.Revision == 0 {
		return errs.New(errs.Invalid, "take the revision from the store", "record %s has no revision", r.Key)
	}
	if len(r.Value) > maxValueBytes {
		return errs.New(errs.Invalid, "split the value", "record %s has %d bytes, the limit is %d", r.Key, len(r.Value), maxValueBytes)
	}
	return nil
}

// toWire returns the message that carries r.
func (r *Record) toWire() *wire.ConfigRecord {
	return &wire.ConfigRecord{Key: r.Key, Revision: r.Revision, Value: r.Value, Deleted: r.Deleted}
}

// advert returns the message that tells of the revision of r alone.
func (r *Record) advert() *wire.ConfigRecord {
	return &wire.ConfigRecord{Key: r.Key, Revision: r.Revision, Advert: true}
}

// fromWire returns the record in a message.
func fromWire(m *wire.ConfigRecord) Record {
	return Record{Key: m.Key, Revision: m.Revision, Value: m.Value, Deleted: m.Deleted}
}

// numBuckets is the number of buckets of keys whose digests are compared.
const numBuckets = 64

// recordSet holds the newest record of each key and digests of the set.
type recordSet struct {
	byKey   map[string]Record
	buckets [numBuckets]uint32
	hash    uint64
	held    uint64 // highest revision
}

func newRecordSet() recordSet { return recordSet{byKey: map[string]Record{}} }

// put takes over r if its revision is higher than the one held.
func (s *recordSet) put(r Record) bool {
	old, known := s.byKey[r.Key]
	if known && r.Revision <= old.Revision {
		return false
	}
	if known {
		s.toggle(&old)
	}
	s.byKey[r.Key] = r
	s.toggle(&r)
	s.held = max(s.held, r.Revision)
	return true
}

// toggle adds a record to the digests or takes it out.
func (s *recordSet) toggle(r *Record) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], r.Revision)
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	_, _ = h.Write(b[:])
	sum := h.Sum64()
	s.hash ^= sum
	s.buckets[bucketOf(r.Key)] ^= uint32(sum)
}

// bucketOf returns the bucket of a key.
func bucketOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % numBuckets) }

// after returns the records with a revision above rev, oldest first.
func (s *recordSet) after(rev uint64) []Record {
	var list []Record
	for _, r := range s.byKey {
		if r.Revision > rev {
			list = append(list, r)
		}
	}
	sortByRevision(list)
	return list
}

// inBucket returns the records of a bucket.
func (s *recordSet) inBucket(bucket uint32) []Record {
	var list []Record
	for _, r := range s.byKey {
		if bucketOf(r.Key) == bucket {
			list = append(list, r)
		}
	}
	sortByRevision(list)
	return list
}

func sortByRevision(list []Record) {
	slices.SortFunc(list, func(a, b Record) int {
		if a.Revision != b.Revision {
			return compare(a.Revision, b.Revision)
		}
		return compare(a.Key, b.Key)
	})
}
