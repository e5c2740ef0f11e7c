// Package bufpool copies streams through buffers that are used again. io.Copy
// takes a new one of 32 KB for each copy, which is most of what a small call
// allocates.
package bufpool

import (
	"io"
	"sync"
)

// size of a buffer in bytes; most bodies fit into one.
const size = 16 << 10

var pool = sync.Pool{New: func() any { b := make([]byte, size); return &b }}

// Copy copies src to dst until its end, like io.Copy.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	b := pool.Get().(*[]byte)
	defer pool.Put(b)
	// Plain values keep io.CopyBuffer from looking for shortcuts that allocate.
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, *b)
}
