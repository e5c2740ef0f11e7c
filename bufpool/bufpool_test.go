package bufpool

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func TestCopyIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 3*size).Draw(t, "data")
		var out bytes.Buffer
		n, err := Copy(&out, iotest.OneByteReader(bytes.NewReader(data)))
		if err != nil || n != int64(len(data)) || !bytes.Equal(out.Bytes(), data) {
			t.Fatalf("%d of %d bytes, %v", n, len(data), err)
		}
	})
}

func TestCopyReportsABrokenSource(t *testing.T) {
	broken := errors.New("broken")
	n, err := Copy(io.Discard, io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(broken)))
	if n != 3 || !errors.Is(err, broken) {
		t.Fatalf("%d, %v", n, err)
	}
}

func TestReleasedWriterForgets(t *testing.T) {
	var first, second bytes.Buffer
	w := GetWriter(&first)
	w.WriteString("dropped")
	PutWriter(w)
	w = GetWriter(&second)
	w.WriteString("kept")
	if err := w.Flush(); err != nil || first.Len() > 0 || second.String() != "kept" {
		t.Fatalf("%q and %q, %v", first.String(), second.String(), err)
	}
	w = GetWriter(brokenWriter{})
	w.WriteString("lost")
	if w.Flush() == nil {
		t.Fatal("a broken destination was not reported")
	}
	PutWriter(w)
	second.Reset()
	w = GetWriter(&second)
	w.WriteString("kept")
	if err := w.Flush(); err != nil || second.String() != "kept" {
		t.Fatalf("%q after a broken destination, %v", second.String(), err)
	}
}

func TestCopyReportsAShortWrite(t *testing.T) {
	if _, err := Copy(shortWriter{}, bytes.NewReader([]byte("abc"))); !errors.Is(err, io.ErrShortWrite) {
		t.Fatalf("got %v", err)
	}
}

type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("broken") }

type shortWriter struct{}

func (shortWriter) Write(p []byte) (int, error) { return len(p) - 1, nil }
