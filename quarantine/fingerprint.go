// Package quarantine finds requests that crash the backend servers which run them, and
// decides which requests must not run any more. It does no I/O and reads no clock.
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same but for their ids: by the service
// that they come from, method, host, target and body.
type Fingerprint uint64

// String returns the form used in logs and keys.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	f, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(f), err
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(origin, method, host, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{origin, method, host, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0}) // separates the parts
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
