package execution

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	uuidVersionWithTime = 7
	timestampBytes      = 6 // bytes of milliseconds since the Unix epoch
)

// MintedAt returns the timestamp in an idempotency key, with a resolution of one
// millisecond. It returns false unless the key is a version 7 UUID (RFC 9562).
func MintedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionWithTime || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var buf [8]byte
	copy(buf[len(buf)-timestampBytes:], id[:timestampBytes])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(buf[:]))), true
}
