package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// memoryStore implements the part of store.Store that the plug-in uses.
type memoryStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	down     bool
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: map[string]store.Entry{}} }

func (s *memoryStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Entry{}, errs.New(errs.Unavailable, "wait", "down")
	}
	e, ok := s.entries[key]
	if !ok {
		return e, errs.New(errs.NotFound, "write it", "no key %q", key)
	}
	return e, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, expect uint64, _ string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return 0, errs.New(errs.Conflict, "read", "conflict")
	}
	s.revision++
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, expect uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return 0, errs.New(errs.Conflict, "read", "conflict")
	}
	s.revision++
	delete(s.entries, key)
	return s.revision, nil
}

func (s *memoryStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entries[key].Value)
}

// await waits until a condition holds.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// awaitFree waits until the killer may run at a node without a permit.
func (net *network) awaitFree(t *testing.T, id string) {
	t.Helper()
	await(t, "free run at "+id, func() bool {
		permit, reason := net.admit(id, "free", time.Second)
		net.nodes[id].Return(killer, permit, false)
		return reason == call.ReasonNone && permit.Holder == ""
	})
}

// useStore connects the nodes to a store, and delivers what it holds of the killer to them.
func (net *network) useStore(s *memoryStore) {
	for _, n := range net.nodes {
		n.k.Store = s
		if e, ok := s.entries[recordPrefix+killer.String()]; ok {
			n.k.Records.Deliver(e)
		}
	}
}

// setRetrialDelay empties the tables of all nodes and sets their RetrialDelay.
func (net *network) setRetrialDelay(d time.Duration) {
	for _, n := range net.nodes {
		n.cfg.RetrialDelay = d
		n.table = quarantine.New(n.cfg)
	}
}

// TestCrashesOfOneMomentQuarantineNothing reports five crashes of one moment under a
// request that ran at each of the servers. It must run at once, and freely after an answer.
func TestCrashesOfOneMomentQuarantineNothing(t *testing.T) {
	net := newNetwork(t, 6)
	s := newMemoryStore()
	net.useStore(s)
	for i := range 5 {
		net.nodes[fmt.Sprint("n", i)].Crashed(fmt.Sprint("s", i), []quarantine.Run{{Fingerprint: killer, Age: 100 * time.Millisecond}})
	}
	permit, reason := net.admit("n5", "x", time.Second)
	if reason != call.ReasonNone || !permit.Alone {
		t.Fatalf("after the crashes: %+v, %q", permit, reason)
	}
	net.nodes["n5"].Return(killer, permit, true)
	for id := range net.nodes {
		net.awaitFree(t, id)
	}
	if len(s.entries) > 0 {
		t.Errorf("recorded: %v", s.entries)
	}
}

// TestRecordOfAnEarlierVersionIsExamined starts nodes with the record of a version that
// counted all crashes alike. The request must run once soon, under a permit; its answer ends
// the quarantine and deletes the record.
func TestRecordOfAnEarlierVersionIsExamined(t *testing.T) {
	net := newNetwork(t, 4)
	key := recordPrefix + killer.String()
	s := newMemoryStore()
	s.entries[key] = store.Entry{Key: key, Value: []byte("n3"), Revision: 1}
	net.useStore(s)
	var permit kernel.Permit
	await(t, "retrial", func() bool {
		var reason call.Reason
		permit, reason = net.admit("n1", "first", time.Second)
		return reason == call.ReasonNone
	})
	if _, reason := net.admit("n2", "second", time.Second); reason != call.ReasonQuarantined || !permit.Alone {
		t.Errorf("beside the retrial %+v: %q", permit, reason)
	}
	net.nodes["n1"].Return(killer, permit, true)
	await(t, "deletion of the record", func() bool { return s.value(key) == "" })
	for id := range net.nodes {
		net.awaitFree(t, id)
	}
}

// TestRetrialThatCrashesIsRecorded lets the retrial of such a record crash its server. The
// record must say so then, and the request must not be retried before RetrialDelay.
func TestRetrialThatCrashesIsRecorded(t *testing.T) {
	net := newNetwork(t, 4)
	key := recordPrefix + killer.String()
	s := newMemoryStore()
	s.entries[key] = store.Entry{Key: key, Value: []byte("n3"), Revision: 1}
	net.useStore(s)
	await(t, "retrial", func() bool {
		_, reason := net.admit("n1", "first", time.Second)
		return reason == call.ReasonNone
	})
	net.nodes["n1"].Crashed("s1", []quarantine.Run{{Fingerprint: killer, Alone: true}})
	await(t, "record", func() bool { return isProved([]byte(s.value(key))) })
	time.Sleep(2 * testDelay)
	for id := range net.nodes {
		if _, reason := net.admit(id, "again", time.Second); reason != call.ReasonQuarantined {
			t.Errorf("%s: %q", id, reason)
		}
	}
}

// TestQuarantineEndsWithoutTheStore answers the retrial of a quarantined request while the
// store is away. All nodes must let it run, also one that does not know of the quarantine.
func TestQuarantineEndsWithoutTheStore(t *testing.T) {
	net := newNetwork(t, 4)
	net.setRetrialDelay(100 * time.Millisecond)
	s := newMemoryStore()
	s.down = true
	net.useStore(s)
	for i := range 3 {
		net.nodes["n0"].Crashed(fmt.Sprint("s", i), []quarantine.Run{{Fingerprint: killer, Alone: i > 0}})
	}
	if _, reason := net.admit("n2", "x", time.Second); reason != call.ReasonQuarantined {
		t.Errorf("after three crashes: %q", reason)
	}
	net.add(t, "later")
	var permit kernel.Permit
	await(t, "retrial", func() bool {
		var reason call.Reason
		permit, reason = net.admit("n2", "retrial", time.Second)
		return reason == call.ReasonNone
	})
	net.nodes["n2"].Return(killer, permit, true)
	for id := range net.nodes {
		net.awaitFree(t, id)
	}
}
