// Package logging writes one line of key=value pairs per event. Lines pass
// through a bounded buffer, so that a slow output never delays traffic.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Writer is a zap sink with a bounded buffer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	flushed chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a writer to out that holds at most buffer lines.
func NewWriter(out io.Writer, buffer int) *Writer {
	w := &Writer{lines: make(chan []byte, buffer), flushed: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	b := &batch{out: out, dropped: &w.dropped}
	for line := range w.lines {
		if line == nil {
			b.flush()
			w.flushed <- struct{}{}
			continue
		}
		b.add(line)
		if len(w.lines) == 0 || len(b.buf) >= batchBytes {
			b.flush()
		}
	}
	b.flush()
}

// batchBytes is the size from which buffered lines are written although more
// follow.
const batchBytes = 32 << 10

// batch writes lines together, since each write costs a system call.
type batch struct {
	out     io.Writer
	buf     []byte
	lines   uint64
	dropped *atomic.Uint64
}

func (b *batch) add(line []byte) {
	b.buf = append(b.buf, line...)
	b.lines++
}

func (b *batch) flush() {
	if b.lines == 0 {
		return
	}
	if _, err := b.out.Write(b.buf); err != nil {
		b.dropped.Add(b.lines)
	}
	b.buf, b.lines = b.buf[:0], 0
}

// Write queues one line; it drops the line when the buffer is full.
func (w *Writer) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer; lines are written in the background.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines lost so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all lines written before it have reached the output, and
// reports false if the output has not taken them within limit.
func (w *Writer) Flush(limit time.Duration) bool {
	expired := time.After(limit)
	select {
	case w.lines <- nil:
	case <-expired:
		return false
	}
	select {
	case <-w.flushed:
		return true
	case <-expired:
		return false
	}
}

// Close writes what is buffered and stops the writer. No line may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

// New returns a logger of key=value lines at the given level ("debug", "info", "warn", "error").
func New(w *Writer, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), w, lvl)), nil
}
