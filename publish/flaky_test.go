package publish

import (
	"context"
	"strings"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// flakyStore is an in-memory store that injects random outages, lost answers and
// delayed writes, and runs operations of other operators between its calls.
type flakyStore struct {
	store.Store
	t             *rapid.T
	entries       map[string]store.Entry
	revision      uint64
	applied       []Versioned // every write that took effect
	lateWrites    []func()    // delayed writes, whose callers were told that the answer was lost
	faultsOff     bool
	depth         int
	otherOperator func() // runs an operation of another operator
	calls         int
	interruptAt   int // call number before which otherOperator runs; 0 means never
}

// maxInterleavingDepth bounds the nesting of operations that interrupt each other.
const maxInterleavingDepth = 3

// draw returns a random number from 0 to upTo, or upTo, which selects no fault, if
// faults are off.
func (f *flakyStore) draw(name string, upTo int) int {
	if f.faultsOff {
		return upTo
	}
	return rapid.IntRange(0, upTo).Draw(f.t, name)
}

// injectConcurrency runs before each call. It may apply a delayed write or run an
// operation of another operator.
func (f *flakyStore) injectConcurrency() {
	f.calls++
	if f.calls == f.interruptAt {
		f.otherOperator()
	}
	if len(f.lateWrites) > 0 && f.draw("arrive", 3) == 0 {
		apply := f.lateWrites[0]
		f.lateWrites = f.lateWrites[1:]
		apply()
	}
	if f.depth < maxInterleavingDepth && f.draw("interleave", 4) == 0 {
		f.depth++
		f.otherOperator()
		f.depth--
	}
}

func (f *flakyStore) applyLateWrites() {
	for _, apply := range f.lateWrites {
		apply()
	}
	f.lateWrites = nil
}

func (f *flakyStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.injectConcurrency()
	if f.draw("get", 9) == 0 {
		return store.Entry{}, errs.New(errs.Unavailable, "", "outage")
	}
	e, ok := f.entries[key]
	if !ok {
		return e, errs.New(errs.NotFound, "", "no key")
	}
	return e, nil
}

func (f *flakyStore) List(_ context.Context, prefix string) ([]store.Entry, uint64, error) {
	f.injectConcurrency()
	if f.draw("list", 9) == 0 {
		return nil, 0, errs.New(errs.Unavailable, "", "outage")
	}
	var list []store.Entry
	for key, e := range f.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e)
		}
	}
	return list, f.revision, nil
}

func (f *flakyStore) CompareAndSwap(_ context.Context, key string, value []byte, expect uint64, _ string) (uint64, error) {
	f.injectConcurrency()
	answerLost := errs.New(errs.Unknown, "", "answer lost")
	switch f.draw("cas", 7) {
	case 0:
		return 0, errs.New(errs.Unavailable, "", "outage")
	case 1:
		return 0, answerLost
	case 2:
		_, _ = f.swap(key, value, expect)
		return 0, answerLost
	case 3:
		f.lateWrites = append(f.lateWrites, func() { _, _ = f.swap(key, value, expect) })
		return 0, answerLost
	}
	return f.swap(key, value, expect)
}

func (f *flakyStore) swap(key string, value []byte, expect uint64) (uint64, error) {
	if f.entries[key].Revision != expect {
		return 0, errs.New(errs.Conflict, "", "key %s is at %d", key, f.entries[key].Revision)
	}
	r, err := profile.DecodeRecord(key, value)
	if err != nil {
		f.t.Fatal(err)
	}
	f.revision++
	f.entries[key] = store.Entry{Key: key, Value: value, Revision: f.revision}
	f.applied = append(f.applied, Versioned{f.revision, r})
	return f.revision, nil
}
