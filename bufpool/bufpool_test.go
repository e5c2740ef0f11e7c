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
