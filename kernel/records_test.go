package kernel

import (
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// TestLargeValuesOfOtherProgramsAreLeftOut checks which entries the copy of the store holds: small
// ones of unknown keys too, which a node of a newer build may copy from this one.
func TestLargeValuesOfOtherProgramsAreLeftOut(t *testing.T) {
	r := newRecords()
	r.Handle("state/all", func(store.Entry) {})
	r.Declare("members/")
	for _, tc := range []struct {
		key   string
		size  int
		keeps bool
	}{
		{"state/all", store.MaxValueBytes, true}, {"members/a", store.MaxValueBytes, true},
		{"new/kind", 1000, true}, {"new/kind", maxUnknownBytes, true}, {"other/large", maxUnknownBytes + 1, false},
	} {
		if got := r.Keeps(tc.key, tc.size); got != tc.keeps {
			t.Errorf("%s with %d bytes: kept %t", tc.key, tc.size, got)
		}
	}
}
