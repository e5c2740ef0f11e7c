// Package bufpool pools buffers and buffered writers. Allocating them for each
// call made up a third of the bytes that a small call allocated.
package bufpool

import (
	"bufio"
	"io"
	"sync"
)

const (
	bufferSize = 16 << 10 // in bytes; holds most bodies
	writerSize = 8 << 10  // in bytes; holds a small answer with its head
)

var (
	bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerSize) }}
)

// Get takes a buffer of bufferSize bytes from the pool. Return it with Put.
func Get() *[]byte { return bufferPool.Get().(*[]byte) }

// Put returns a buffer from Get to the pool.
func Put(b *[]byte) { bufferPool.Put(b) }

// GetWriter takes a buffered writer from the pool and directs it to dst. Return it
// with PutWriter.
func GetWriter(dst io.Writer) *bufio.Writer {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(dst)
	return w
}

// PutWriter returns a writer from GetWriter to the pool and discards unflushed
// data.
func PutWriter(w *bufio.Writer) {
	w.Reset(nil) // releases the destination and clears a write error
	writerPool.Put(w)
}

// Copy copies from src to dst until EOF and returns the number of bytes written and
// the first error. It replaces io.Copy, which allocates 32 KB for each copy.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	b := Get()
	defer Put(b)
	var total int64
	for {
		n, err := src.Read(*b)
		if n > 0 {
			written, writeErr := dst.Write((*b)[:n])
			total += int64(written)
			if writeErr == nil && written < n {
				writeErr = io.ErrShortWrite
			}
			if writeErr != nil {
				return total, writeErr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}
