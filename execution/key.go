package execution

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	timedVersion  = 7
	timestampSize = 6 // bytes of milliseconds since the Unix epoch
)

// MintedAt returns the time that an idempotency key carries, to the
// millisecond. It is false unless the key is a UUID of version 7 (RFC 9562).
func MintedAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != timedVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var buf [8]byte
	copy(buf[len(buf)-timestampSize:], id[:timestampSize])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(buf[:]))), true
}
