package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/routing"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	numRegions   = 6
	numDomains   = 13
	perService   = 14
	eventsPerMsg = 10
	tick         = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

// record returns the record of the i-th member. Names are as long as those of a
// real fleet: the node adds a random suffix to the id of its VM.
func record(i int) *wire.MemberRecord {
	domain := i % numDomains
	return &wire.MemberRecord{
		Id:          fmt.Sprintf("vm-%05d-%016x", i, uint64(i)*0x9E3779B97F4A7C15),
		State:       wire.MemberState_MEMBER_STATE_ALIVE,
		Incarnation: 2,
		Addr:        []byte{10, byte(i >> 16), byte(i >> 8), byte(i), 0x58, 0x1B},
		Region:      fmt.Sprintf("region-%d", domain%numRegions),
		Domain:      fmt.Sprintf("region-%d-%d", domain%numRegions, domain/numRegions),
		Service:     fmt.Sprintf("service-%04d", i/perService),
		Version:     membership.ProtocolVersion,
	}
}

// newTable returns a table with n members besides itself, taken in from pushes.
func newTable(b *testing.B, n int) *membership.Table {
	self := membership.Member{ID: "self", Addr: "10.9.9.9:7003", GossipAddr: "10.9.9.9:7003", Region: "region-0", Domain: "region-0-0"}
	t, err := membership.New(membership.DefaultConfig(), self, rand.New(rand.NewPCG(1, 2)), start)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < n; i += eventsPerMsg {
		push(b, t, i, min(i+eventsPerMsg, n))
	}
	t.Events()
	return t
}

func push(b *testing.B, t *membership.Table, from, to int) {
	msg := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH, From: record(from).Id}
	for i := from; i < to; i++ {
		msg.Events = append(msg.Events, record(i))
	}
	payload, err := proto.Marshal(msg)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := t.Handle("10.0.0.1:7003", payload, start); err != nil {
		b.Fatal(err)
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// perSize runs f for the sizes of fleets from which the slope is taken.
func perSize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range []int{400, 3000, 30000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { f(b, n) })
	}
}

// BenchmarkStart is a node that starts with nothing and fetches the list from a
// node that has all of it. It reports the time that the fetch takes, the bytes
// that it takes, and the heap that a member takes after it.
func BenchmarkStart(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		for b.Loop() {
			source := newTable(b, n)
			before := heap()
			t := newTable(b, perService)
			took, received := fetch(b, t, source)
			b.ReportMetric(took.Seconds(), "model-s")
			b.ReportMetric(float64(received)/float64(n), "received-B/member")
			b.ReportMetric(float64(heap()-before)/float64(n), "heap-B/member")
			b.ReportMetric(float64(len(t.All())), "known")
			runtime.KeepAlive(t)
			runtime.KeepAlive(source)
		}
	})
}

// fetch drives t until it has fetched the list; every member answers for source,
// whose byte budget is renewed for each exchange, as if each were with another
// member.
func fetch(b *testing.B, t, source *membership.Table) (took time.Duration, received int) {
	var served time.Duration
	for ; !t.Synced(); took += tick {
		if took > time.Hour {
			b.Fatalf("list not fetched after %v of model time", took)
		}
		now := start.Add(took)
		for _, p := range t.Tick(now) {
			answerPing(b, t, p, now)
		}
		t.Events()
		peer, payload, ok := t.ExchangeRequest(now)
		if !ok {
			continue
		}
		served += time.Minute
		reply, err := source.Exchange(payload, start.Add(served))
		if err != nil {
			b.Fatal(err)
		}
		received += len(reply)
		if err := t.ExchangeReply(peer.ID, reply, now); err != nil {
			b.Fatal(err)
		}
	}
	return took, received
}

// answerPing answers a probe in the place of its target.
func answerPing(b *testing.B, t *membership.Table, p membership.Packet, now time.Time) {
	ping := &wire.GossipPacket{}
	if err := proto.Unmarshal(p.Payload, ping); err != nil {
		b.Fatal(err)
	}
	if ping.Kind != wire.PacketKind_PACKET_KIND_PING {
		return
	}
	ack, err := proto.Marshal(&wire.GossipPacket{
		Kind: wire.PacketKind_PACKET_KIND_ACK, From: ping.TargetId, TargetId: ping.TargetId, Sequence: ping.Sequence,
	})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := t.Handle(p.To, ack, now); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkAll is the copy that a node publishes after each change of a member.
func BenchmarkAll(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		t := newTable(b, n)
		b.ReportAllocs()
		for b.Loop() {
			t.All()
		}
	})
}

// BenchmarkIndexes is BenchmarkAll with the two indexes that plug-ins build from
// it: members by service, and peers by id and by region.
func BenchmarkIndexes(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		t := newTable(b, n)
		b.ReportAllocs()
		for b.Loop() {
			services := map[string][]membership.Member{}
			regions := map[string][]membership.Member{}
			byID := map[string]membership.Member{}
			for _, m := range t.All() {
				services[m.Service] = append(services[m.Service], m)
				regions[m.Region] = append(regions[m.Region], m)
				byID[m.ID] = m
			}
		}
	})
}

// BenchmarkTick is one tick of a settled table; a node makes ten a second.
func BenchmarkTick(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		t := newTable(b, n)
		now := start
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(tick)
			t.Tick(now)
			t.Events()
		}
	})
}

// BenchmarkRouterUpdate is the update of the router of one service of 14
// members, which each service that a node calls makes after each change of any
// member.
func BenchmarkRouterUpdate(b *testing.B) {
	cfg := routing.DefaultConfig()
	cfg.Region, cfg.Domain = "region-0", "region-0-0"
	r := routing.New(cfg, rand.New(rand.NewPCG(1, 2)))
	var members []routing.Member
	for i := range perService {
		m := record(i)
		members = append(members, routing.Member{Node: m.Id, Addr: fmt.Sprintf("10.0.0.%d:7003", i), Region: m.Region, Domain: m.Domain, Incarnation: 2})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Update(members, start)
	}
}
