package directory

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/replica"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// profileVersions returns the values of a profile record that was changed n times.
func profileVersions(t *testing.T, name string, n int) [][]byte {
	t.Helper()
	var values [][]byte
	r := &profile.Record{Kind: profile.KindProfile, Name: name}
	for i := range n {
		r.Change = profile.Change{ID: uuid.New(), Author: "ann", Time: time.Unix(int64(1000+i), 0)}
		r.History = append(r.History, r.Change)
		r.Body = fmt.Sprintf("[default]\nretries = %d\n", i+1)
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		values = append(values, value)
	}
	return values
}

// retries returns the setting of the profile that is in force for a service at a node.
func retries(n *testNode, service string) int {
	p, _, ok := n.Profiles.Snapshot().ForService(service)
	if !ok {
		return -1
	}
	return p.Default.Retries
}

// TestStoreRestoredFromAnOlderCopy restores the store from a copy some changes old, twice.
// Members stay in use without interruption and register again, an accepted profile stays
// in force and is written again, later changes reach all nodes although their revisions
// were given out before, and a node that was cut off meanwhile follows.
func TestStoreRestoredFromAnOlderCopy(t *testing.T) {
	s, d, url := startStore(t)
	cut := s.NewEndpoint()
	cutServer := httptest.NewServer(cut)
	t.Cleanup(func() { cutServer.CloseClientConnections(); cutServer.Close() })
	fleet := newFleet()
	nodes := []*testNode{fleet.start(t, "a", "127.0.0.1:1", url), fleet.start(t, "b", "127.0.0.1:2", url), fleet.start(t, "c", "127.0.0.1:3", cutServer.URL)}
	for _, n := range nodes {
		n.Fleet.Announce("rates", 5)
	}
	everywhere := func(ok func(*testNode) bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if !ok(n) {
					return false
				}
			}
			return true
		}
	}
	members := everywhere(func(n *testNode) bool { return len(n.Fleet.Members("rates")) == len(nodes) })
	waitFor(t, "members", 4*time.Second, members)
	binding, err := (&profile.Record{Kind: profile.KindService, Name: "rates", Profile: "calm", Change: profile.Change{ID: uuid.New()}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	versions := profileVersions(t, "calm", 4)
	writeKey(t, url, "profiles/calm", versions[0])
	writeKey(t, url, "services/rates", binding)

	for round := range 2 {
		s.Act(standin.Actions{Backup: true})
		writeKey(t, url, "profiles/calm", versions[round+1])
		waitFor(t, "accepted profile", 3*time.Second, everywhere(func(n *testNode) bool { return retries(n, "rates") == round+2 }))
		client := kv.NewClient(url, kv.DefaultOptions())
		before, err := client.Get(context.Background(), membership.Key("a"))
		if err != nil {
			t.Fatal(err)
		}

		cut.SetFaults(standin.Faults{Silent: true})
		d.SetFaults(standin.Faults{Down: true})
		time.Sleep(300 * time.Millisecond)
		s.Act(standin.Actions{Restore: true})
		d.SetFaults(standin.Faults{})
		stop := checkAlways(t, "all members stay in use", members)
		stopProfile := checkAlways(t, "the accepted profile stays in force", everywhere(func(n *testNode) bool { return retries(n, "rates") == round+2 }))
		waitFor(t, "new registration", 2*time.Second, func() bool {
			e, err := client.Get(context.Background(), membership.Key("a"))
			return err == nil && store.Era(e.Revision) == uint64(round+1) && e.Lease != before.Lease
		})
		waitFor(t, "profile is written again", 2*time.Second, func() bool {
			e, err := client.Get(context.Background(), "profiles/calm")
			return err == nil && !profile.Supersedes("profiles/calm", versions[round+1], e.Value)
		})
		cut.SetFaults(standin.Faults{})
		time.Sleep(500 * time.Millisecond)
		stop()
		stopProfile()
		key := fmt.Sprint("x/", round)
		value := lastValue(nodes[2], key)
		writeKey(t, url, key, []byte("after"))
		waitFor(t, "change after the restoration", 3*time.Second, func() bool { return value() == "after" })
	}
	writeKey(t, url, "profiles/calm", versions[3])
	waitFor(t, "later change of the profile", 3*time.Second, everywhere(func(n *testNode) bool { return retries(n, "rates") == 4 }))
}

// TestSecondRestorationKeepsTheLatestRecord restores the store a second time before the
// records lost in the first one are written again.
func TestSecondRestorationKeepsTheLatestRecord(t *testing.T) {
	const key = "profiles/calm"
	versions := profileVersions(t, "calm", 3)
	entry := func(era uint64, version int) store.Entry {
		return store.Entry{Key: key, Value: versions[version], Revision: store.JoinRevision(era, uint64(10+version))}
	}
	lost, table := lostRecords{}, replica.New()
	for era, restored := range []int{2, 1, 0} {
		before, _ := table.Since(0)
		table.Replace([]store.Entry{entry(uint64(era), restored)}, store.JoinRevision(uint64(era), 20))
		lost.note(before, table)
		if older := entry(uint64(era), restored); era > 0 && !lost.supersedes(older) {
			t.Errorf("era %d: version %d of the copy counts as the latest", era, restored)
		}
	}
	if !bytes.Equal(lost[key].Value, versions[2]) {
		t.Errorf("the record to write again is %s", lost[key].Value)
	}
	if lost.supersedes(entry(3, 2)) || len(lost) != 0 {
		t.Errorf("still lost after it was written again: %v", lost)
	}
}

// checkAlways checks a condition each few milliseconds until the returned function is
// called.
func checkAlways(t *testing.T, condition string, ok func() bool) (stop func()) {
	t.Helper()
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			if !ok() {
				t.Errorf("%s: does not hold", condition)
				return
			}
			select {
			case <-quit:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() { close(quit); <-done }
}
