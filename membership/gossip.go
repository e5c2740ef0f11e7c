package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// packet encodes msg and fills the room left with events, as far as the byte
// budget allows.
func (t *Table) packet(to string, msg *wire.GossipPacket, now time.Time) Packet {
	msg.From = t.self.ID
	size := proto.Size(msg)
	room := t.cfg.MaxPacketBytes - size
	budget := t.out.Room(now) - size - bytelimit.DatagramOverhead
	reserve := t.cfg.ReserveBytes - max(0, budget-room)
	msg.Events = append(msg.Events, t.queue.take(min(room, budget), max(0, reserve))...)
	return t.seal(to, msg, now)
}

// seal encodes msg as it is and takes it out of the budget.
func (t *Table) seal(to string, msg *wire.GossipPacket, now time.Time) Packet {
	msg.From = t.self.ID
	payload := wire.Encode(msg)
	t.out.Room(now)
	t.out.Spend(len(payload) + bytelimit.DatagramOverhead)
	t.stats.PacketsSent++
	t.stats.BytesSent += uint64(len(payload) + bytelimit.DatagramOverhead)
	return Packet{To: to, Payload: payload}
}

// push sends waiting events to random peers of the region and to the other
// regions that are due, and sets the time of the next push.
func (t *Table) push(now time.Time) []Packet {
	packets := t.pushCross(now)
	t.nextPush = now.Add(t.pushInterval())
	for _, e := range t.index.pick(t.rng, t.self.Region, t.cfg.Fanout, t.notSelf) {
		if !t.canPush(now) {
			break
		}
		msg := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH}
		packets = append(packets, t.packet(e.GossipAddr, msg, now))
	}
	return packets
}

// pushInterval returns the time to the next push.
func (t *Table) pushInterval() time.Duration {
	switch {
	case t.queue.waiting[urgent] > 0:
		return t.cfg.UrgentInterval
	case t.queue.waiting[soon] > 0:
		return t.cfg.PushInterval
	}
	return t.cfg.BulkInterval
}

// canPush reports whether events wait that the budget allows to push.
func (t *Table) canPush(now time.Time) bool {
	room := t.out.Room(now)
	if t.queue.waiting[urgent] == 0 {
		room -= t.cfg.ReserveBytes
	}
	return len(t.queue.heap) > 0 && room >= minPushRoom
}

// minPushRoom is the budget below which a push would be mostly header.
const minPushRoom = 300

// pushCross sends the events due for other regions, each to one random member.
func (t *Table) pushCross(now time.Time) []Packet {
	var packets []Packet
	for _, region := range sortedKeys(t.queue.cross) {
		peers := t.index.pick(t.rng, region, 1, t.notSelf)
		if len(peers) == 0 {
			delete(t.queue.cross, region)
			continue
		}
		room := min(t.cfg.MaxPacketBytes-minPushRoom, t.out.Room(now))
		records := t.queue.takeCross(region, room)
		if len(records) == 0 {
			continue
		}
		msg := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH, Events: records}
		packets = append(packets, t.seal(peers[0].GossipAddr, msg, now))
	}
	return packets
}

// Handle takes in a datagram and returns the answers. Malformed input is
// counted and gives an error of kind errs.Invalid; well-formed records in the
// same packet are still taken over.
func (t *Table) Handle(from string, payload []byte, now time.Time) ([]Packet, error) {
	t.checkPause(now)
	msg := &wire.GossipPacket{}
	if err := wire.Decode(payload, msg); err != nil {
		t.stats.Malformed++
		return nil, err
	}
	if msg.From == "" || msg.From == t.self.ID {
		t.stats.Malformed++
		return nil, errs.New(errs.Invalid, "give each process start its own id", "packet from %s carries the sender id %q", from, msg.From)
	}
	if t.self.State == Left {
		return nil, nil
	}
	first := t.applyAll(msg.Events, fromGossip, now)
	if e := t.index.byID[msg.From]; e != nil && !e.State.gone() {
		t.lastHeard = now
	}
	packets, err := t.answer(from, msg, now)
	if err != nil {
		t.stats.Malformed++
		return packets, err
	}
	return packets, first
}

// answer returns the packets that msg asks for.
func (t *Table) answer(from string, msg *wire.GossipPacket, now time.Time) ([]Packet, error) {
	sender := t.index.byID[msg.From]
	switch msg.Kind {
	case wire.PacketKind_PACKET_KIND_PING:
		return t.ack(from, msg, sender, now), nil
	case wire.PacketKind_PACKET_KIND_ACK:
		return append(t.prober.handleAck(t, msg, now), t.introduce(from, msg, sender, now)...), nil
	case wire.PacketKind_PACKET_KIND_PING_REQ:
		return t.prober.handlePingReq(t, from, msg, now)
	case wire.PacketKind_PACKET_KIND_NACK:
		t.prober.handleNack(msg)
	case wire.PacketKind_PACKET_KIND_JOIN:
		return t.welcome(from, msg, now), nil
	}
	return t.correct(from, sender, now), nil
}

// ack answers a ping. A sender that is suspected or declared dead here is told,
// and one that is unknown is asked for its record. A sender that holds an old
// record of this node gets the current one. Answers go on somewhat beyond the
// byte budget, but not to all of a backlog after a pause.
func (t *Table) ack(from string, msg *wire.GossipPacket, sender *entry, now time.Time) []Packet {
	if t.out.Room(now) <= -maxAckDebt {
		return nil
	}
	ack := &wire.GossipPacket{
		Kind:          wire.PacketKind_PACKET_KIND_ACK,
		Sequence:      msg.Sequence,
		TargetId:      t.self.ID,
		UnknownSender: sender == nil,
	}
	if sender != nil && (sender.State == Suspect || sender.State.gone()) {
		ack.Events = append(ack.Events, record(sender))
	}
	for _, r := range msg.Events {
		if r.Id == t.self.ID && r.Incarnation < t.self.Incarnation {
			ack.Events = append(ack.Events, fullRecord(t.self))
			break
		}
	}
	return []Packet{t.packet(from, ack, now)}
}

// maxAckDebt is the number of bytes by which answers to probes may exceed the
// budget.
const maxAckDebt = 300

// introduce sends the own record to a peer that does not know this node.
func (t *Table) introduce(from string, msg *wire.GossipPacket, sender *entry, now time.Time) []Packet {
	if !msg.UnknownSender || t.out.Room(now) <= 0 {
		return t.correct(from, sender, now)
	}
	push := &wire.GossipPacket{
		Kind:   wire.PacketKind_PACKET_KIND_PUSH,
		Events: []*wire.MemberRecord{fullRecord(t.self)},
	}
	return []Packet{t.seal(from, push, now)}
}

// correct tells a sender that it was declared dead, so that it can refute.
func (t *Table) correct(from string, sender *entry, now time.Time) []Packet {
	if sender == nil || sender.State != Dead || t.out.Room(now) <= 0 {
		return nil
	}
	push := &wire.GossipPacket{
		Kind:   wire.PacketKind_PACKET_KIND_PUSH,
		Events: []*wire.MemberRecord{record(sender)},
	}
	return []Packet{t.seal(from, push, now)}
}
