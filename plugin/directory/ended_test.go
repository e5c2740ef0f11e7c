package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// departures is a target that only notes which starts have departed.
type departures struct {
	kernel.Target
	mu     sync.Mutex
	starts []membership.BackendStart
}

func (d *departures) BackendDeparted(_ context.Context, start membership.BackendStart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts = append(d.starts, start)
}

func (d *departures) first() membership.BackendStart {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.starts) == 0 {
		return membership.BackendStart{}
	}
	return d.starts[0]
}

// TestEndIsKeptByNodesWhileStoreIsAway records an end while the store is down, and asks as the
// next process of the node does. It guards against an end that is acknowledged and known to
// nobody once the process has ended.
func TestEndIsKeptByNodesWhileStoreIsAway(t *testing.T) {
	_, d, url := startStore(t)
	fleet := newFleet()
	a := fleet.start(t, "a", "127.0.0.1:1", url)
	others := []*testNode{fleet.start(t, "b", "127.0.0.1:2", url), fleet.start(t, "c", "127.0.0.1:3", url)}
	for _, n := range append(others, a) {
		n.Fleet.Announce("rates", 5)
	}
	waitFor(t, "members", 4*time.Second, func() bool { return len(a.Fleet.Members("rates")) == 3 && len(others[0].Fleet.Members("rates")) == 3 })
	d.SetFaults(standin.Faults{Down: true})
	ended := membership.BackendStart{Instance: "i-1", Born: 1000}
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	if err := a.Fleet.RecordEnd(ctx, ended); err != nil {
		t.Fatalf("no node keeps the end: %v", err)
	}
	asker := newDirectory(a.Kernel)
	target := &departures{}
	asker.k.Target = target
	asker.apply(nil, 1, true)
	for _, n := range others {
		m := membership.Member{ID: n.NodeID, Addr: n.addr, Region: "r", State: membership.Alive}
		asker.fleet.Put(membership.Key(n.Settings.Node.ID), m)
	}
	asker.publish()
	if !asker.askOnce() || target.first() != ended || asker.self.Ended != ended {
		t.Fatalf("the next process has learned of %+v, its record names %+v", target.first(), asker.self.Ended)
	}
}

// TestEndedStartsOutOfRangeAreRejected sends ended starts that no node sends. One that is
// born in the far future would outdate every later start of the backend server.
func TestEndedStartsOutOfRangeAreRejected(t *testing.T) {
	_, _, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	h, _ := n.Exchanges.Handler(endedTopic)
	for name, msg := range map[string]*wire.EndedStart{
		"born":   {Key: "members/b", Instance: "i", Born: membership.MaxBorn + 1},
		"before": {Key: "members/b", Instance: "i", Born: -1},
		"key":    {Key: "other/b", Instance: "i", Born: 1},
	} {
		if _, err := h("b", wire.Encode(msg)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := h("b", wire.Encode(&wire.EndedStart{Key: "members/b", Instance: "i", Born: 1})); err != nil {
		t.Errorf("a valid one: %v", err)
	}
}

// TestRecordOfAnotherWriterEndsNoStart replaces the record of a node by one that names the start
// of its live backend server as ended, as no process of this node wrote it. The start must stay
// in use, and the node must write its record again.
func TestRecordOfAnotherWriterEndsNoStart(t *testing.T) {
	_, _, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	target := &departures{}
	n.Kernel.Target = target
	n.Fleet.Announce("rates", 5)
	waitFor(t, "own record", 4*time.Second, func() bool { return len(n.Fleet.Members("rates")) == 1 })
	writeKey(t, url, membership.Key("a"), wire.Encode(&wire.MemberRecord{
		Id: "odd", Addr: "127.0.0.1:9", Region: "r", Service: "rates", EndedInstance: "i-1", EndedBorn: 1000,
	}))
	client := kv.NewClient(url, kv.DefaultOptions())
	waitFor(t, "own record again", 4*time.Second, func() bool {
		e, err := client.Get(context.Background(), membership.Key("a"))
		if err != nil {
			return false
		}
		m, err := membership.Decode(e.Key, e.Value, e.Revision)
		return err == nil && m.ID == n.Kernel.NodeID
	})
	if start := target.first(); start.Instance != "" {
		t.Errorf("ended by the record of another writer: %+v", start)
	}
	if members := n.Fleet.Members("rates"); len(members) != 1 || members[0].ID != n.Kernel.NodeID {
		t.Errorf("members %+v", members)
	}
}
