package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 8)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	log.Info("route", zap.String("service", "archivo"), zap.Int("candidates", 2))
	w.Close()
	if !strings.Contains(out.String(), "event=route service=archivo candidates=2\n") {
		t.Fatalf("logged %q, want event=route service=archivo candidates=2", out.String())
	}
}

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestFullBufferDropsAndCountsLines(t *testing.T) {
	b := blockedWriter{release: make(chan struct{})}
	w := NewWriter(b, 2)
	for range 10 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(b.release)
	w.Close()
	if d := w.Dropped(); d < 7 || d > 8 {
		t.Fatalf("dropped %d lines, want 7 or 8", d)
	}
}

// TestBufferIsBoundedInBytes writes long lines while the output is blocked. They must not take more than
// maxBufferBytes, and leave a part of that to lines about control state.
func TestBufferIsBoundedInBytes(t *testing.T) {
	const lineBytes = 64 << 10
	var out bytes.Buffer
	b := blockedWriter{release: make(chan struct{})}
	w := NewWriter(io.MultiWriter(b, &out), 4096)
	for range 1024 {
		w.Write([]byte(strings.Repeat("x", lineBytes-1) + "\n"))
	}
	control := controlWriter{w}
	control.Write([]byte("control\n"))
	close(b.release)
	w.Close()
	if n := out.Len(); n > maxBufferBytes || n < maxBufferBytes/2 {
		t.Errorf("%d bytes were buffered, at most %d may be", n, maxBufferBytes)
	}
	if !strings.Contains(out.String(), "control\n") {
		t.Error("a line about control state was dropped")
	}
	if w.Dropped() == 0 || w.bytes.Load() != 0 {
		t.Errorf("%d lines were dropped, %d bytes are still counted", w.Dropped(), w.bytes.Load())
	}
}

func TestFlushTimesOutOnBlockedOutput(t *testing.T) {
	b := blockedWriter{release: make(chan struct{})}
	w := NewWriter(b, 2)
	for range 10 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Flush(50 * time.Millisecond) {
		t.Fatal("Flush succeeded while the output was blocked")
	}
	close(b.release)
	if !w.Flush(10 * time.Second) {
		t.Fatal("Flush did not write all lines after the output was unblocked")
	}
	w.Close()
}

// TestControlLinesSurviveAFloodOfRequestLines fills the buffer with lines about requests while
// the output is blocked. A line about control state must still be written.
func TestControlLinesSurviveAFloodOfRequestLines(t *testing.T) {
	var out bytes.Buffer
	b := blockedWriter{release: make(chan struct{})}
	w := NewWriter(io.MultiWriter(b, &out), 64)
	log, err := New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		log.Info("request")
	}
	Control(log.With(zap.Int("node", 7))).Info("desired_state_in_force")
	close(b.release)
	w.Close()
	if !strings.Contains(out.String(), "event=desired_state_in_force node=7") {
		t.Fatal("the line about control state was dropped")
	}
	if w.Dropped() == 0 {
		t.Fatal("no line was dropped, so the buffer was not full")
	}
}
