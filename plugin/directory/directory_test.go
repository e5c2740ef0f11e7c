package directory

import (
	"context"
	"net/http/httptest"
	"sync"
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

// testStore is the store that the kernels of the tests get.
var testStore store.Store

func init() {
	kernel.Register("test-store", kernel.StagePlatform, func(k *kernel.Kernel) (kernel.Plugin, error) {
		k.Store = testStore
		return nothing{}, nil
	})
}

type nothing struct{}

func (nothing) Start(context.Context) error { return nil }
func (nothing) Stop(context.Context) error  { return nil }

// node is a kernel with the directory alone.
type node struct {
	*kernel.Kernel
	addr string
}

// fleet connects nodes that find each other by address.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*node
}

func (f *fleet) at(addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[addr]
}

// transport carries exchanges between the nodes of a fleet.
type transport struct {
	kernel.Transport
	fleet *fleet
}

func (tr transport) Exchange(_ context.Context, addr, topic string, payload []byte) ([]byte, error) {
	n := tr.fleet.at(addr)
	if n == nil {
		return nil, errs.New(errs.Unavailable, "ask another node", "no node at %s", addr)
	}
	h, _ := n.Exchanges.Handler(topic)
	return h("", payload)
}

func startStore(t *testing.T) (*standin.Server, *standin.Endpoint, string) {
	t.Helper()
	s := standin.New(standin.DefaultConfig())
	d := s.NewEndpoint()
	h := httptest.NewServer(d)
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return s, d, h.URL
}

func (f *fleet) start(t *testing.T, name, addr, url string) *node {
	t.Helper()
	testStore = kv.NewClient(url, kv.DefaultOptions())
	s := &settings.Settings{}
	s.Node.ID = name
	s.Node.Region = "r"
	s.Listen.Peer = addr
	k, err := kernel.New(s, name+"-"+addr, zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	k.Transport = transport{fleet: f}
	n := &node{k, addr}
	f.mu.Lock()
	f.nodes[addr] = n
	f.mu.Unlock()
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	return n
}

func newFleet() *fleet { return &fleet{nodes: map[string]*node{}} }

func waitFor(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", what, limit)
		}
	}
}

// write puts a key into the store, past the rights of the system.
func write(t *testing.T, url, key string, value []byte) {
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

// seen collects the values that a kernel delivers of a key.
func seen(n *node, key string) func() string {
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

// TestHistoryThatIsGone drops the history of the store while watches are silent;
// the node must read the whole state and not ask for the history again and again.
func TestHistoryThatIsGone(t *testing.T) {
	s, d, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	value := seen(n, "x/")
	write(t, url, "x/1", []byte("first"))
	waitFor(t, "first value", 3*time.Second, func() bool { return value() == "first" })
	d.SetFaults(standin.Faults{LoseWatch: true})
	write(t, url, "x/1", []byte("second"))
	s.Act(standin.Actions{Compact: true})
	d.SetFaults(standin.Faults{})
	before := s.Counts()["list"]
	waitFor(t, "second value", 3500*time.Millisecond, func() bool { return value() == "second" })
	time.Sleep(300 * time.Millisecond)
	if lists := s.Counts()["list"] - before; lists > 2 {
		t.Fatalf("%d lists after the history was gone", lists)
	}
}

// TestLapsedRecordIsBack ends all leases without telling; the record of a node
// with a backend server must be back within two seconds.
func TestLapsedRecordIsBack(t *testing.T) {
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
	ended := lease()
	s.Act(standin.Actions{EndLeases: true})
	if lease() == ended {
		t.Fatal("the record outlived its lease")
	}
	waitFor(t, "record after its lease ended", 2*time.Second, func() bool { return lease() != "" && lease() != ended })
	if members := n.Fleet.Members("rates"); len(members) != 1 {
		t.Fatalf("members %v", members)
	}
}

// TestRecordIsBackAfterAnOutage lets leases lapse while the store is away.
func TestRecordIsBackAfterAnOutage(t *testing.T) {
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
		t.Fatal("the store's silence made a member unusable")
	}
	d.SetFaults(standin.Faults{})
	waitFor(t, "record after the outage", 2*time.Second, present)
}

// TestStoreShutToOneNode changes a key while one node cannot reach the store. The
// node must learn of it from the other, also after it was started anew.
func TestStoreShutToOneNode(t *testing.T) {
	s, _, url := startStore(t)
	shutDoor := s.NewEndpoint()
	shutAt := httptest.NewServer(shutDoor)
	defer func() { shutAt.CloseClientConnections(); shutAt.Close() }()
	f := newFleet()
	f.start(t, "open", "127.0.0.1:1", url)
	n := f.start(t, "shut", "127.0.0.1:2", shutAt.URL)
	value := seen(n, "x/")
	waitFor(t, "both members", 6*time.Second, func() bool { return len(n.Fleet.All()) == 2 })
	shutDoor.SetFaults(standin.Faults{Silent: true})
	write(t, url, "x/1", []byte("during"))
	waitFor(t, "change at the node that is shut off", 2500*time.Millisecond, func() bool { return value() == "during" })
	n.Stop(context.Background())
	again := f.start(t, "shut", "127.0.0.1:2", shutAt.URL)
	value = seen(again, "x/")
	waitFor(t, "state at a node that started while it was shut off", 3*time.Second, func() bool { return value() == "during" })
}

func TestMalformedRecordsAreLeftOut(t *testing.T) {
	_, _, url := startStore(t)
	write(t, url, membership.Key("bad"), []byte("no protobuf"))
	write(t, url, membership.Key("nowhere"), wire.Encode(&wire.MemberRecord{Id: "x", Addr: "here", Service: "rates"}))
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	n.Fleet.Announce("rates", 1)
	waitFor(t, "own record", 3*time.Second, func() bool { return len(n.Fleet.Members("rates")) == 1 })
	if all := n.Fleet.All(); len(all) != 1 {
		t.Fatalf("members %v", all)
	}
}
