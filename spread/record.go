package spread

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
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

// stored is a record with the message that carries it.
type stored struct {
	Record
	wire *wire.ConfigRecord
}

// minDeflateBytes is the size from which values are compressed.
const minDeflateBytes = 128

// store returns r with the message that brought it, or with a new one whose value
// is compressed if that saves bytes.
func store(r Record, m *wire.ConfigRecord) *stored {
	if m != nil {
		return &stored{Record: r, wire: m}
	}
	m = &wire.ConfigRecord{Key: r.Key, Revision: r.Revision, Value: r.Value, Deleted: r.Deleted}
	if len(r.Value) >= minDeflateBytes {
		if packed := deflate(r.Value); len(packed) < len(r.Value) {
			m.Value = packed
			m.Deflate = true
		}
	}
	return &stored{Record: r, wire: m}
}

// deflate compresses b; writing to a buffer does not fail.
func deflate(b []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		return b
	}
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Bytes()
}

// inflate is the inverse of deflate. It returns an error of kind errs.Invalid
// for malformed input and for values over the limit.
func inflate(b []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxValueBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "check that the sender is a node of this system", "compressed value of %d bytes", len(b))
	}
	return value, nil
}

// advert returns the message that tells of the revision of r alone.
func (r *Record) advert() *wire.ConfigRecord {
	return &wire.ConfigRecord{Key: r.Key, Revision: r.Revision, Advert: true}
}

// fromWire returns the record in a message, or an error of kind errs.Invalid.
func fromWire(m *wire.ConfigRecord) (Record, error) {
	r := Record{Key: m.Key, Revision: m.Revision, Value: m.Value, Deleted: m.Deleted}
	if m.Deflate {
		value, err := inflate(m.Value)
		if err != nil {
			return r, err
		}
		r.Value = value
	}
	return r, r.Validate()
}

// numBuckets is the number of buckets of keys whose digests are compared.
const numBuckets = 64

// recordSet holds the newest record of each key and digests of the set.
type recordSet struct {
	byKey   map[string]*stored
	buckets [numBuckets]uint32
	hash    uint64
	held    uint64 // highest revision
}

func newRecordSet() recordSet { return recordSet{byKey: map[string]*stored{}} }

// put takes over r if its revision is higher than the one held.
// m is the message that brought it, or nil.
func (s *recordSet) put(r Record, m *wire.ConfigRecord) bool {
	old := s.byKey[r.Key]
	if old != nil {
		if r.Revision <= old.Revision {
			return false
		}
		s.toggle(&old.Record)
	}
	s.byKey[r.Key] = store(r, m)
	s.toggle(&r)
	s.held = max(s.held, r.Revision)
	return true
}

// revision returns the revision held of a key, or 0.
func (s *recordSet) revision(key string) uint64 {
	if r := s.byKey[key]; r != nil {
		return r.Revision
	}
	return 0
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
func (s *recordSet) after(rev uint64) []*stored {
	var list []*stored
	for _, r := range s.byKey {
		if r.Revision > rev {
			list = append(list, r)
		}
	}
	sortByRevision(list)
	return list
}

// inBucket returns the records of a bucket.
func (s *recordSet) inBucket(bucket uint32) []*stored {
	var list []*stored
	for _, r := range s.byKey {
		if bucketOf(r.Key) == bucket {
			list = append(list, r)
		}
	}
	sortByRevision(list)
	return list
}

func sortByRevision(list []*stored) {
	slices.SortFunc(list, func(a, b *stored) int {
		if a.Revision != b.Revision {
			return compare(a.Revision, b.Revision)
		}
		return compare(a.Key, b.Key)
	})
}
