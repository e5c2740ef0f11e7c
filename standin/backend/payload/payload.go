// Package payload builds and checks the bodies that the stand-in backend
// servers answer with. A body names the request that it answers and ends with
// a checksum, so that its reader can tell a whole answer from a broken one and
// its own from another's.
package payload

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Faults that Check tells apart.
var (
	// ErrBroken means that the body is cut short or altered.
	ErrBroken = errors.New("body is broken")
	// ErrForeign means that the body is whole and answers another request.
	ErrForeign = errors.New("body answers another request")
)

const (
	// DefaultSize is the size of a body in bytes when none is asked for.
	DefaultSize = 2048
	// MaxSize is the largest size in bytes that a backend server answers.
	MaxSize = 64 << 20

	idPrefix      = "id="
	sumPrefix     = "\nsum="
	trailerLength = len(sumPrefix) + 16 + 1 // 16 hexadecimal digits and a newline
)

// Body returns the body that answers the request of the given id. It is size
// bytes long, or as long as its header and its trailer if those need more.
func Body(id string, size int) []byte {
	header := idPrefix + id + "\n"
	fill := max(size-len(header)-trailerLength, 0)
	body := make([]byte, 0, len(header)+fill+trailerLength)
	body = append(body, header...)
	body = appendFill(body, xxhash.Sum64String(id), fill)
	return fmt.Appendf(body, "%s%016x\n", sumPrefix, xxhash.Sum64(body))
}

// appendFill appends n printable bytes that depend on the seed alone.
func appendFill(b []byte, seed uint64, n int) []byte {
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

// Check returns nil if body is the whole answer to the request of the given
// id, an error that wraps ErrForeign if it is the whole answer to another one,
// and one that wraps ErrBroken otherwise.
func Check(id string, body []byte) error {
	cut := len(body) - trailerLength
	if cut < 0 {
		return fmt.Errorf("%w: %d bytes have no room for a checksum", ErrBroken, len(body))
	}
	want := fmt.Sprintf("%s%016x\n", sumPrefix, xxhash.Sum64(body[:cut]))
	if string(body[cut:]) != want {
		return fmt.Errorf("%w: the checksum of %d bytes differs", ErrBroken, len(body))
	}
	line, _, _ := bytes.Cut(body[:cut], []byte("\n"))
	got, ok := strings.CutPrefix(string(line), idPrefix)
	if !ok {
		return fmt.Errorf("%w: the first line names no request", ErrBroken)
	}
	if got != id {
		return fmt.Errorf("%w: asked as %q, answers %q", ErrForeign, id, got)
	}
	return nil
}
