package bufpool

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func TestCopyCopiesAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 3*bufferSize).Draw(t, "data")
		var out bytes.Buffer
		n, err := Copy(&out, iotest.OneByteReader(bytes.NewReader(data)))
		if err != nil || n != int64(len(data)) || !bytes.Equal(out.Bytes(), data) {
			t.Fatalf("copied %d of %d bytes, error %v", n, len(data), err)
		}
	})
}

func TestCopyReportsReadError(t *testing.T) {
	errBroken := errors.New("broken")
	n, err := Copy(io.Discard, io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(errBroken)))
	if n != 3 || !errors.Is(err, errBroken) {
		t.Fatalf("copied %d bytes, error %v; want 3 bytes and the read error", n, err)
	}
}

func TestPooledWriterKeepsNoState(t *testing.T) {
	var first, second bytes.Buffer
	w := GetWriter(&first)
	w.WriteString("dropped")
	PutWriter(w)
	w = GetWriter(&second)
	w.WriteString("kept")
	if err := w.Flush(); err != nil || first.Len() > 0 || second.String() != "kept" {
		t.Fatalf("first writer got %q, second %q, error %v", first.String(), second.String(), err)
	}
	w = GetWriter(failingWriter{})
	w.WriteString("lost")
	if w.Flush() == nil {
		t.Fatal("Flush did not report the write error")
	}
	PutWriter(w)
	second.Reset()
	w = GetWriter(&second)
	w.WriteString("kept")
	if err := w.Flush(); err != nil || second.String() != "kept" {
		t.Fatalf("got %q after a write error on the pooled writer, error %v", second.String(), err)
	}
}

func TestCopyReportsShortWrite(t *testing.T) {
	if _, err := Copy(shortWriter{}, bytes.NewReader([]byte("abc"))); !errors.Is(err, io.ErrShortWrite) {
		t.Fatalf("got error %v, want io.ErrShortWrite", err)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

type shortWriter struct{}

func (shortWriter) Write(p []byte) (int, error) { return len(p) - 1, nil }
