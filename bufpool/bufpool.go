// Package bufpool lends buffers and writers that are used again. New ones for
// each call were a third of the bytes that a small call allocated.
package bufpool

import (
	"bufio"
	"io"
	"sync"
)

const (
	size       = 16 << 10 // of a buffer in bytes; most bodies fit into one
	writerSize = 8 << 10  // of a writer in bytes; a small answer with its head fits into one
)

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, size); return &b }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerSize) }}
)

// Get lends a buffer until it is given back with Put.
func Get() *[]byte { return buffers.Get().(*[]byte) }

// Put takes back a buffer of Get.
func Put(b *[]byte) { buffers.Put(b) }

// GetWriter lends a buffered writer to dst until it is given back with PutWriter.
func GetWriter(dst io.Writer) *bufio.Writer {
	w := writers.Get().(*bufio.Writer)
	w.Reset(dst)
	return w
}

// PutWriter takes back a writer of GetWriter. What was not flushed is dropped.
func PutWriter(w *bufio.Writer) {
	w.Reset(nil) // holds neither the destination nor its error
	writers.Put(w)
}

// Copy copies src to dst until its end, like io.Copy, which allocates a buffer of
// 32 KB for each copy.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	b := Get()
	defer Put(b)
	var total int64
	for {
		n, err := src.Read(*b)
		if n > 0 {
			written, werr := dst.Write((*b)[:n])
			total += int64(written)
			if werr == nil && written < n {
				werr = io.ErrShortWrite
			}
			if werr != nil {
				return total, werr
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
