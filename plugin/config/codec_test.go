package config

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

func TestPackedValuesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "value")
		got, err := unpack(pack(value))
		if err != nil {
			t.Fatal(err)
		}
		if want := profile.Compact(value); !bytes.Equal(got, want) && len(value) > 0 {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{deflateMark, 1, 2, 3})
	f.Add(pack(bytes.Repeat([]byte("profile"), 100)))
	f.Fuzz(func(t *testing.T, packed []byte) {
		value, err := unpack(packed)
		if err != nil && value != nil {
			t.Fatalf("value %q with error %v", value, err)
		}
	})
}
