package membership

import (
	"testing"
	"time"

	"math/rand/v2"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// phantoms returns records of members without a process in a region of their own.
func phantoms(n int) []*wire.MemberRecord {
	var records []*wire.MemberRecord
	for i := range n {
		records = append(records, &wire.MemberRecord{
			Id: phantomID(i), State: wire.MemberState_MEMBER_STATE_ALIVE, Incarnation: 1,
			Addr: []byte{10, 200, byte(i >> 8), byte(i), 0x1b, 0x58}, Region: "r9", Domain: "r9-d0", Service: "svc9",
		})
	}
	return records
}

// introduction returns the packet by which a node makes itself known.
func introduction(t *Table) *wire.GossipPacket {
	return &wire.GossipPacket{
		Kind:   wire.PacketKind_PACKET_KIND_PUSH,
		Events: []*wire.MemberRecord{fullRecord(t.self)},
	}
}

func newTable(t rapid.TB, id string) *Table { return newTableAt(t, id, "10.0.0.1:7000") }

func newTableAt(t rapid.TB, id, addr string) *Table {
	self := Member{ID: id, Addr: addr, GossipAddr: addr, Region: "r0", Domain: "d0"}
	table, err := New(DefaultConfig(), self, rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestUnknownFieldsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	r := phantoms(1)[0]
	extra := protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "from a newer version")
	r.ProtoReflect().SetUnknown(extra)
	a, b := newTable(t, "a"), newTable(t, "b")
	if err := a.apply(r, fromGossip, now); err != nil {
		t.Fatal(err)
	}
	reply, err := a.Exchange(wire.Encode(&wire.MembershipRequest{From: "b", Page: true}), now)
	if err != nil {
		t.Fatal(err)
	}
	msg := &wire.MembershipReply{}
	if err := wire.Decode(reply, msg); err != nil {
		t.Fatal(err)
	}
	if err := b.applyAll(msg.Records, fromPage, now); err != nil {
		t.Fatal(err)
	}
	if got := string(b.index.byID[r.Id].extra); got != string(extra) {
		t.Errorf("extra fields %q", got)
	}
}

func TestMalformedInputIsCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(t, "a")
	good, bad, newer := phantoms(3)[0], phantoms(3)[1], phantoms(3)[2]
	bad.Addr = []byte{1, 2, 3}
	newer.State = 77
	msg := &wire.GossipPacket{From: "b", Kind: wire.PacketKind_PACKET_KIND_PUSH, Events: []*wire.MemberRecord{bad, newer, good}}
	if _, err := table.Handle("10.0.0.2:1", wire.Encode(msg), now); errs.KindOf(err) != errs.Invalid {
		t.Errorf("error %v", err)
	}
	if _, ok := table.Lookup(good.Id); !ok {
		t.Error("the good record after the bad one is lost")
	}
	if s := table.Stats(); s.Malformed != 1 || s.Ignored != 1 {
		t.Errorf("stats %+v", s)
	}
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		before := table.Version()
		_, err := table.Handle("10.0.0.2:1", payload, now)
		_, err2 := table.Exchange(payload, now)
		if err == nil && err2 == nil && table.Version() != before {
			t.Logf("random bytes changed the table: %x", payload)
		}
	})
}

// TestOrderDoesNotMatter applies records in two orders with duplicates; the
// naive rule is that the highest pair of incarnation and state wins.
func TestOrderDoesNotMatter(t *testing.T) {
	now := time.Unix(1000, 0)
	states := []State{Alive, Leaving, Dead, Left}
	rapid.Check(t, func(t *rapid.T) {
		var records []*wire.MemberRecord
		naive := map[string][2]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			r := phantoms(4)[rapid.IntRange(0, 3).Draw(t, "member")]
			r.State = wire.MemberState(rapid.SampledFrom(states).Draw(t, "state"))
			r.Incarnation = rapid.Uint64Range(1, 5).Draw(t, "incarnation")
			records = append(records, r)
			if now := [2]uint64{r.Incarnation, uint64(r.State)}; naive[r.Id][0] < now[0] || naive[r.Id][0] == now[0] && naive[r.Id][1] < now[1] {
				naive[r.Id] = now
			}
		}
		a, b := newTable(t, "a"), newTable(t, "b")
		shuffled := append(rapid.Permutation(records).Draw(t, "order"), records[:len(records)/2]...)
		if a.applyAll(records, fromGossip, now) != nil || b.applyAll(shuffled, fromExchange, now) != nil {
			t.Fatal("valid records refused")
		}
		for id, want := range naive {
			ea, eb := a.index.byID[id], b.index.byID[id]
			if ea.Incarnation != want[0] || uint64(ea.State) != want[1] || eb.Incarnation != want[0] || eb.State != ea.State {
				t.Fatalf("%s: %v and %v, want %v", id, ea.Member, eb.Member, want)
			}
		}
		checkIndex(t, a)
		checkIndex(t, b)
		if a.index.groups != b.index.groups && a.index.byID["a"] == nil {
			t.Fatal("digests differ")
		}
	})
}

// checkIndex compares the orders kept with ones built anew.
func checkIndex(t rapid.TB, table *Table) {
	naive := newIndex()
	for _, e := range table.index.byID {
		clone := *e
		naive.add(&clone)
	}
	if naive.digests != table.index.digests || naive.groups != table.index.groups || naive.live != table.index.live {
		t.Fatal("digests differ from ones built anew")
	}
	for region, list := range table.index.regions {
		if len(list) != len(naive.regions[region]) {
			t.Fatalf("region %s has %d members, not %d", region, len(list), len(naive.regions[region]))
		}
		for i, e := range list {
			if e.regionPos != i || e.State.gone() {
				t.Fatalf("%s at %d has position %d in state %v", e.ID, i, e.regionPos, e.State)
			}
		}
	}
}
