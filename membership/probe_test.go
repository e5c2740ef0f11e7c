package membership

import (
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// neighbours returns a table in the region of n members without a process.
func neighbours(t *testing.T, n int) (*Table, []*wire.MemberRecord, time.Time) {
	now := time.Unix(1000, 0)
	table := newTable(t, "a")
	records := phantoms(n)
	for _, r := range records {
		r.Region = "r0"
	}
	if err := table.applyAll(records, fromPage, now); err != nil {
		t.Fatal(err)
	}
	return table, records, now
}

// suspected returns the news that another node suspects the member of r.
func suspected(r *wire.MemberRecord) *wire.MemberRecord {
	return &wire.MemberRecord{Id: r.Id, State: wire.MemberState_MEMBER_STATE_SUSPECT, Incarnation: r.Incarnation, Suspector: 7}
}

// hear lets a table take in an answer of another member, so that it does not
// doubt its own link.
func hear(t *testing.T, table *Table, from string, now time.Time) {
	msg := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH, From: from}
	if _, err := table.Handle("10.200.0.1:7000", wire.Encode(msg), now); err != nil {
		t.Fatal(err)
	}
}

func TestOwnPauseRestartsSuspicions(t *testing.T) {
	table, records, now := neighbours(t, 8)
	if err := table.apply(suspected(records[0]), fromGossip, now); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute) // no tick in between
	for range 25 {
		table.Tick(now)
		hear(t, table, records[1].Id, now)
		now = now.Add(100 * time.Millisecond)
	}
	if m, _ := table.Lookup(records[0].Id); m.State != Suspect {
		t.Errorf("%v 2.5 s after the pause", m.State)
	}
	if table.Self().Incarnation != 2 {
		t.Error("the node did not announce itself again")
	}
}

func TestSuspectIsAskedOnceMore(t *testing.T) {
	table, records, now := neighbours(t, 40)
	suspect := newTableAt(t, records[0].Id, "10.200.0.0:7000")
	suspect.changeSelf(2, now, func(*Member) {}) // a refutation that table missed
	if err := table.apply(suspected(records[0]), fromGossip, now); err != nil {
		t.Fatal(err)
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		hear(t, table, records[1].Id, now)
		suspect.Tick(now)
		for _, p := range table.Tick(now) {
			msg := &wire.GossipPacket{}
			if err := wire.Decode(p.Payload, msg); err != nil {
				t.Fatal(err)
			}
			if msg.Kind != wire.PacketKind_PACKET_KIND_PING || msg.TargetId != records[0].Id || msg.Sequence != 0 {
				continue
			}
			answers, err := suspect.Handle("10.0.0.1:7000", p.Payload, now)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := table.Handle(p.To, answers[0].Payload, now); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, e := range table.Events() {
		if e.Kind == DeclaredDead && e.Member.ID == records[0].Id {
			t.Error("declared dead without being asked")
		}
	}
	if m, _ := table.Lookup(records[0].Id); m.Incarnation != 2 {
		t.Errorf("the refutation did not arrive: %+v", m)
	}
}

func TestAnswerOfAnotherMemberProvesDeath(t *testing.T) {
	table, records, now := neighbours(t, 1)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		packets := table.Tick(now)
		if table.prober.current == nil || len(packets) == 0 {
			continue
		}
		ack := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_ACK, From: "new", TargetId: "new", Sequence: table.prober.current.seq}
		if _, err := table.Handle(packets[0].To, wire.Encode(ack), now); err != nil {
			t.Fatal(err)
		}
		break
	}
	if m, _ := table.Lookup(records[0].Id); m.State != Dead {
		t.Errorf("%v although another process answers at its address", m.State)
	}
}

// TestDeadSenderIsTold lets a node that was declared dead send something.
func TestDeadSenderIsTold(t *testing.T) {
	for _, kind := range []wire.PacketKind{wire.PacketKind_PACKET_KIND_PING, wire.PacketKind_PACKET_KIND_PUSH} {
		table, records, now := neighbours(t, 3)
		sender := newTable(t, records[0].Id)
		table.declareDead(table.index.byID[records[0].Id], now)
		msg := &wire.GossipPacket{Kind: kind, From: records[0].Id}
		answers, err := table.Handle("10.200.0.0:7000", wire.Encode(msg), now)
		if err != nil || len(answers) == 0 {
			t.Fatalf("%v: no answer, error %v", kind, err)
		}
		if _, err := sender.Handle("10.0.0.1:7000", answers[0].Payload, now); err != nil {
			t.Fatal(err)
		}
		if sender.Self().Incarnation != 2 {
			t.Errorf("%v: the dead sender did not refute", kind)
		}
	}
}
