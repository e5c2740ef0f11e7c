package directory

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/store"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// testStore is the store given to the kernels created by the tests.
var testStore store.Store

func init() {
	kernel.Register("test-store", kernel.StagePlatform, func(k *kernel.Kernel) (kernel.Plugin, error) {
		k.Store = testStore
		return noopPlugin{}, nil
	})
}

type noopPlugin struct{}

func (noopPlugin) Start(context.Context) error { return nil }
func (noopPlugin) Stop(context.Context) error  { return nil }

// testNode is a kernel in which the directory is the only real plug-in.
type testNode struct {
	*kernel.Kernel
	addr        string
	answerDelay atomic.Int64 // of the answers to the node's exchanges, in ns
}

// testFleet holds the nodes of a test by address.
type testFleet struct {
	mu    sync.Mutex
	nodes map[string]*testNode
}

func (f *testFleet) nodeAt(addr string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[addr]
}

// fleetTransport passes exchanges between the nodes of a testFleet.
type fleetTransport struct {
	kernel.Transport
	fleet *testFleet
	node  *testNode
}

func (tr fleetTransport) Exchange(ctx context.Context, addr, topic string, payload []byte) ([]byte, error) {
	n := tr.fleet.nodeAt(addr)
	if n == nil {
		return nil, errs.New(errs.Unavailable, "ask another node", "no node at %s", addr)
	}
	h, _ := n.Exchanges.Handler(topic)
	reply, err := h("", payload)
	if delay := time.Duration(tr.node.answerDelay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return reply, err
}

func startStore(t *testing.T) (*standin.Server, *standin.Endpoint, string) {
	t.Helper()
	s := standin.New(standin.DefaultConfig())
	d := s.NewEndpoint()
	h := httptest.NewServer(d)
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return s, d, h.URL
}

func (f *testFleet) start(t *testing.T, name, addr, url string) *testNode {
	t.Helper()
	return f.startWith(t, name, addr, url, func(s store.Store) store.Store { return s })
}

// startWith starts a node whose store wrap returns.
func (f *testFleet) startWith(t *testing.T, name, addr, url string, wrap func(store.Store) store.Store) *testNode {
	t.Helper()
	testStore = wrap(kv.NewClient(url, kv.DefaultOptions()))
	s := &settings.Settings{}
	s.Node.ID = name
	s.Node.Region = "r"
	s.Listen.Peer = addr
	k, err := kernel.New(s, name+"-"+addr, zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{Kernel: k, addr: addr}
	k.Transport = fleetTransport{fleet: f, node: n}
	f.mu.Lock()
	f.nodes[addr] = n
	f.mu.Unlock()
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	return n
}

func newFleet() *testFleet { return &testFleet{nodes: map[string]*testNode{}} }

func waitFor(t *testing.T, condition string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", condition, limit)
		}
	}
}

// writeKey writes a key directly to the store, without the checks of the
// administration interface.
func writeKey(t *testing.T, url, key string, value []byte) {
	t.Helper()
	c := kv.NewClient(url, kv.DefaultOptions())
	var expect uint64
	if e, err := c.Get(context.Background(), key); err == nil {
		expect = e.Revision
	}
	if _, err := c.CompareAndSwap(context.Background(), key, value, expect, ""); err != nil {
		t.Fatal(err)
	}
}

// lastValue returns a function that returns the last value of a key delivered by the
// kernel of n, or "" if there is none.
func lastValue(n *testNode, key string) func() string {
	values := make(chan string, 100)
	last := ""
	n.Records.Handle(key, func(e store.Entry) { values <- string(e.Value) })
	return func() string {
		for {
			select {
			case last = <-values:
			default:
				return last
			}
		}
	}
}

// TestCompactedHistoryReadsWholeState compacts the store while watches receive no
// changes. The node must then read the whole state, and not request the missing
// history repeatedly.
func TestCompactedHistoryReadsWholeState(t *testing.T) {
	s, d, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	value := lastValue(n, "x/")
	writeKey(t, url, "x/1", []byte("first"))
	waitFor(t, "first value", 3*time.Second, func() bool { return value() == "first" })
	d.SetFaults(standin.Faults{LoseWatch: true})
	writeKey(t, url, "x/1", []byte("second"))
	s.Act(standin.Actions{Compact: true})
	d.SetFaults(standin.Faults{})
	before := s.Counts()["list"]
	waitFor(t, "second value", 3500*time.Millisecond, func() bool { return value() == "second" })
	time.Sleep(300 * time.Millisecond)
	if lists := s.Counts()["list"] - before; lists > 2 {
		t.Fatalf("%d lists after the history was gone", lists)
	}
}

// TestRecordIsRewrittenAfterLeaseEnds ends all leases without notice. The record of a
// node with a backend server must be in the store again within two seconds.
func TestRecordIsRewrittenAfterLeaseEnds(t *testing.T) {
	s, _, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	n.Fleet.Announce("rates", 5)
	lease := func() string {
		e, err := kv.NewClient(url, kv.DefaultOptions()).Get(context.Background(), membership.Key("a"))
		if err != nil || len(e.Value) == 0 {
			return ""
		}
		return e.Lease
	}
	waitFor(t, "record", 3*time.Second, func() bool { return lease() != "" })
	endedLease := lease()
	s.Act(standin.Actions{EndLeases: true})
	if lease() == endedLease {
		t.Fatal("the record outlived its lease")
	}
	waitFor(t, "record after its lease ended", 2*time.Second, func() bool { return lease() != "" && lease() != endedLease })
	if members := n.Fleet.Members("rates"); len(members) != 1 {
		t.Fatalf("members %v", members)
	}
}

// TestRecordIsRewrittenAfterStoreOutage ends all leases while the store does not
// respond. The member must stay usable, and its record must be written within two
// seconds of the store's return.
func TestRecordIsRewrittenAfterStoreOutage(t *testing.T) {
	s, d, url := startStore(t)
	other := httptest.NewServer(s.NewEndpoint())
	defer other.Close()
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	n.Fleet.Announce("rates", 5)
	present := func() bool {
		_, err := kv.NewClient(other.URL, kv.DefaultOptions()).Get(context.Background(), membership.Key("a"))
		return err == nil
	}
	waitFor(t, "record", 3*time.Second, present)
	d.SetFaults(standin.Faults{Silent: true})
	time.Sleep(2 * time.Second)
	s.Act(standin.Actions{EndLeases: true})
	if len(n.Fleet.Members("rates")) != 1 {
		t.Fatal("a member became unusable while the store did not respond")
	}
	d.SetFaults(standin.Faults{})
	waitFor(t, "record after the outage", 2*time.Second, present)
}

// TestNodeCutOffFromStoreSyncsFromPeers changes a key while one of two nodes cannot
// reach the store. That node must get the change from the other one, also after a
// restart.
func TestNodeCutOffFromStoreSyncsFromPeers(t *testing.T) {
	s, _, url := startStore(t)
	blockedDoor := s.NewEndpoint()
	blockedServer := httptest.NewServer(blockedDoor)
	defer func() { blockedServer.CloseClientConnections(); blockedServer.Close() }()
	f := newFleet()
	f.start(t, "open", "127.0.0.1:1", url)
	n := f.start(t, "shut", "127.0.0.1:2", blockedServer.URL)
	value := lastValue(n, "x/")
	waitFor(t, "both members", 6*time.Second, func() bool { return len(n.Fleet.All()) == 2 })
	blockedDoor.SetFaults(standin.Faults{Silent: true})
	writeKey(t, url, "x/1", []byte("during"))
	waitFor(t, "change at the node that is cut off from the store", 2500*time.Millisecond, func() bool { return value() == "during" })
	n.Stop(context.Background())
	restarted := f.start(t, "shut", "127.0.0.1:2", blockedServer.URL)
	value = lastValue(restarted, "x/")
	waitFor(t, "state at a node that was started while cut off from the store", 3*time.Second, func() bool { return value() == "during" })
}

func TestMalformedRecordsAreIgnored(t *testing.T) {
	_, _, url := startStore(t)
	writeKey(t, url, membership.Key("bad"), []byte("no protobuf"))
	writeKey(t, url, membership.Key("nowhere"), wire.Encode(&wire.MemberRecord{Id: "nowhere-1", Addr: "here", Service: "rates"}))
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	n.Fleet.Announce("rates", 1)
	waitFor(t, "own record", 3*time.Second, func() bool { return len(n.Fleet.Members("rates")) == 1 })
	if all := n.Fleet.All(); len(all) != 1 {
		t.Fatalf("members %v", all)
	}
}

// TestFleetStartMakesFewStoreCalls starts a region whose nodes register one after the
// other, as after a start of the whole fleet. Each node reads the state once; only the
// nodes that are first in rank may go on watching. Without a pause between watches each
// registration returned the watches of all nodes that did not know their rank yet.
func TestFleetStartMakesFewStoreCalls(t *testing.T) {
	const (
		nodes           = 40
		registerWithin  = 1500 * time.Millisecond
		maxReadsPerNode = 4 // a list, and watches until a member of a lower rank is known
	)
	s, _, url := startStore(t)
	fleet := newFleet()
	var all []*testNode
	for i := range nodes {
		all = append(all, fleet.start(t, fmt.Sprint("vm", i), fmt.Sprint("127.0.0.1:", i+1), url))
	}
	for _, n := range all {
		n.Fleet.Announce("rates", 5)
		time.Sleep(registerWithin / nodes)
	}
	waitFor(t, "all members at all nodes", 3*time.Second, func() bool {
		for _, n := range all {
			if len(n.Fleet.Members("rates")) != nodes {
				return false
			}
		}
		return true
	})
	c := s.Counts()
	if reads := c["list"] + c["watch"]; reads > maxReadsPerNode*nodes {
		t.Fatalf("%d lists and watches of %d nodes, calls by kind: %v", reads, nodes, c)
	}
}
