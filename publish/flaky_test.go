package publish

import (
	"context"
	"strings"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// flakyStore is a store whose calls meet drawn faults, and between whose calls
// other operators act.
type flakyStore struct {
	store.Store
	t        *rapid.T
	entries  map[string]store.Entry
	revision uint64
	log      []Versioned // every write that took effect
	late     []func()    // writes whose callers have given up
	calm     bool
	depth    int
	other    func() // acts as another operator
	calls    int
	breakAt  int // other acts before this call; 0 is none
}

const maxInterleaving = 3

func (f *flakyStore) draw(name string, upTo int) int {
	if f.calm {
		return upTo
	}
	return rapid.IntRange(0, upTo).Draw(f.t, name)
}

// disturb lets late writes arrive and other operators act.
func (f *flakyStore) disturb() {
	f.calls++
	if f.calls == f.breakAt {
		f.other()
	}
	if len(f.late) > 0 && f.draw("arrive", 3) == 0 {
		land := f.late[0]
		f.late = f.late[1:]
		land()
	}
	if f.depth < maxInterleaving && f.draw("interleave", 4) == 0 {
		f.depth++
		f.other()
		f.depth--
	}
}

func (f *flakyStore) landAll() {
	for _, land := range f.late {
		land()
	}
	f.late = nil
}

func (f *flakyStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.disturb()
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
	f.disturb()
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
	f.disturb()
	lost := errs.New(errs.Unknown, "", "answer lost")
	switch f.draw("cas", 7) {
	case 0:
		return 0, errs.New(errs.Unavailable, "", "outage")
	case 1:
		return 0, lost
	case 2:
		_, _ = f.swap(key, value, expect)
		return 0, lost
	case 3:
		f.late = append(f.late, func() { _, _ = f.swap(key, value, expect) })
		return 0, lost
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
	f.log = append(f.log, Versioned{f.revision, r})
	return f.revision, nil
}
