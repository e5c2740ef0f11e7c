// Package logging writes one logfmt line (key=value pairs) per event. Lines pass
// through a bounded buffer, so that a slow output never delays requests.
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

// Writer is a zapcore.WriteSyncer that buffers lines and writes them to the output
// in a goroutine of its own.
type Writer struct {
	lines     chan []byte  // nil requests a flush
	reserved  int          // entries of lines that only lines about control state may use
	bytes     atomic.Int64 // of the queued lines
	dropped   atomic.Uint64
	flushed   chan struct{} // one value per flush
	done      chan struct{}
	closeOnce sync.Once
}

// reservedFraction is the part of the buffer that is kept for lines about control state, as
// its divisor.
const reservedFraction = 8

// maxBufferBytes bounds the lines that are buffered. Long ones hold what clients have sent.
const maxBufferBytes = 8 << 20

// NewWriter starts a writer to out that buffers at most buffer lines and maxBufferBytes.
func NewWriter(out io.Writer, buffer int) *Writer {
	w := &Writer{lines: make(chan []byte, buffer), reserved: buffer / reservedFraction, flushed: make(chan struct{}, 1), done: make(chan struct{})}
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
		w.bytes.Add(-int64(len(line)))
		if len(w.lines) == 0 || len(b.buf) >= batchBytes {
			b.flush()
		}
	}
	b.flush()
}

// batchBytes is the batch size in bytes from which lines are written even if
// more are queued.
const batchBytes = 32 << 10

// batch joins lines into one write, to save system calls.
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

// Write queues one line, or drops and counts it if only the reserved part of the buffer is
// left. It never blocks and always returns len(p) and no error.
func (w *Writer) Write(p []byte) (int, error) {
	if len(w.lines) >= cap(w.lines)-w.reserved {
		w.dropped.Add(1)
		return len(p), nil
	}
	return w.queue(p, maxBufferBytes-maxBufferBytes/reservedFraction)
}

// queue queues a line unless more than maxBytes are queued with it.
func (w *Writer) queue(p []byte, maxBytes int64) (int, error) {
	if w.bytes.Add(int64(len(p))) > maxBytes {
		w.drop(p)
		return len(p), nil
	}
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.drop(p)
	}
	return len(p), nil
}

// drop counts a line that was not queued.
func (w *Writer) drop(p []byte) {
	w.bytes.Add(-int64(len(p)))
	w.dropped.Add(1)
}

// Sync implements zapcore.WriteSyncer. It does nothing; see Flush.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines lost so far, to a full buffer or to a failed
// write.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all lines queued before it are written to the output, for at
// most timeout. It reports whether they were.
func (w *Writer) Flush(timeout time.Duration) bool {
	expired := time.After(timeout)
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

// Close writes the buffered lines and stops the writer. Write and Flush must not
// be called afterwards.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

// controlWriter writes lines about control state, which may use the whole buffer.
type controlWriter struct{ *Writer }

// Write implements io.Writer like Writer.Write.
func (w controlWriter) Write(p []byte) (int, error) { return w.queue(p, maxBufferBytes) }

// core writes lines to a Writer. control writes them with the reserved part of its buffer.
type core struct {
	zapcore.Core
	control zapcore.Core
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{c.Core.With(fields), c.control.With(fields)}
}

// New returns a logger that writes logfmt lines to w from the given level up
// ("debug", "info", "warn" or "error"). It fails if zap does not know the level.
func New(w *Writer, level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.MessageKey = "event"
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	enc := zaplogfmt.NewEncoder(cfg)
	return zap.New(&core{zapcore.NewCore(enc, w, lvl), zapcore.NewCore(enc, controlWriter{w}, lvl)}), nil
}

// Control returns a logger for lines about control state. They are dropped only if they
// fill the buffer themselves, not if lines about requests do.
func Control(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		if c, ok := c.(*core); ok {
			return c.control
		}
		return c
	}))
}
