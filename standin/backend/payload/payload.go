// Package payload builds and checks the answer bodies of the stand-in backend
// servers. A body contains the ID of its request and ends with a checksum, so
// that a reader detects truncated and corrupt bodies and bodies that belong to
// another request.
package payload

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors that Check wraps.
var (
	// ErrBroken means that the body is truncated or corrupt.
	ErrBroken = errors.New("body is broken")
	// ErrForeign means that the body is intact but answers another request.
	ErrForeign = errors.New("body answers another request")
)

const (
	// DefaultSize is the size in bytes of a body if the request asks for none.
	DefaultSize = 2048
	// MaxSize is the largest body in bytes that a backend server sends.
	MaxSize = 64 << 20

	idPrefix       = "id="
	checksumPrefix = "\nsum="
	trailerLength  = len(checksumPrefix) + 16 + 1 // 16 hexadecimal digits and a newline
)

// Body returns the answer body for the request with the given ID. It is size
// bytes long, or longer if the header and the trailer do not fit.
func Body(id string, size int) []byte {
	header := idPrefix + id + "\n"
	fillerLength := max(size-len(header)-trailerLength, 0)
	body := make([]byte, 0, len(header)+fillerLength+trailerLength)
	body = append(body, header...)
	body = appendFiller(body, xxhash.Sum64String(id), fillerLength)
	return fmt.Appendf(body, "%s%016x\n", checksumPrefix, xxhash.Sum64(body))
}

// appendFiller appends n pseudo-random printable bytes derived from seed.
func appendFiller(b []byte, seed uint64, n int) []byte {
	source := rand.NewPCG(seed, 0)
	for n > 0 {
		word := source.Uint64()
		for i := 0; i < 8 && n > 0; i++ {
			b = append(b, '0'+byte(word&0x3f))
			word >>= 8
			n--
		}
	}
	return b
}

// Check returns nil if body is the complete answer to the request with the given
// ID. The error wraps ErrForeign if body is the complete answer to another
// request, and ErrBroken otherwise.
func Check(id string, body []byte) error {
	trailerStart := len(body) - trailerLength
	if trailerStart < 0 {
		return fmt.Errorf("%w: %d bytes have no room for a checksum", ErrBroken, len(body))
	}
	want := fmt.Sprintf("%s%016x\n", checksumPrefix, xxhash.Sum64(body[:trailerStart]))
	if string(body[trailerStart:]) != want {
		return fmt.Errorf("%w: the checksum of %d bytes differs", ErrBroken, len(body))
	}
	firstLine, _, _ := bytes.Cut(body[:trailerStart], []byte("\n"))
	got, ok := strings.CutPrefix(string(firstLine), idPrefix)
	if !ok {
		return fmt.Errorf("%w: the first line names no request", ErrBroken)
	}
	if got != id {
		return fmt.Errorf("%w: asked as %q, answers %q", ErrForeign, id, got)
	}
	return nil
}
