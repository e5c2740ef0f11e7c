package membership

import (
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// maxRelays limits the probes carried out for others at one time.
const maxRelays = 64

// prober probes one member of the region after the other, in a random order
// that is drawn anew for each round.
type prober struct {
	order   []*entry
	next    time.Time
	current *probe
	seq     uint32
	relays  map[uint32]*relay
}

// probe is the probe in progress.
type probe struct {
	target   *entry
	seq      uint32
	sentAt   time.Time
	indirect bool // others were asked
	nacks    int
}

// relay is a probe on behalf of another node.
type relay struct {
	to      string // UDP address of the asking node
	seq     uint32 // its sequence number
	started time.Time
	nacked  bool
}

func (p *prober) init(t *Table, now time.Time) {
	p.relays = map[uint32]*relay{}
	p.next = now.Add(time.Duration(t.rng.Int64N(int64(t.cfg.ProbeInterval))))
}

// reset gives up the probe in progress, whose answers may have come late.
func (p *prober) reset(t *Table, now time.Time) {
	p.current = nil
	p.relays = map[uint32]*relay{}
	p.next = now.Add(t.cfg.ProbeInterval)
}

// tick sends what is due. Interval and timeout grow with the health score.
func (p *prober) tick(t *Table, now time.Time) []Packet {
	packets := p.tickRelays(t, now)
	scale := time.Duration(1 + t.health)
	if c := p.current; c != nil && !c.indirect && now.Sub(c.sentAt) >= t.cfg.ProbeTimeout*scale {
		packets = append(packets, p.askOthers(t, now)...)
	}
	if now.Before(p.next) {
		return packets
	}
	p.finish(t, now)
	p.next = now.Add(t.cfg.ProbeInterval * time.Duration(1+t.health))
	target := p.pickTarget(t)
	if target == nil {
		return packets
	}
	p.seq++
	p.current = &probe{target: target, seq: p.seq, sentAt: now}
	return append(packets, t.ping(target, p.seq, now))
}

// finish judges the probe in progress, which got no ACK.
func (p *prober) finish(t *Table, now time.Time) {
	c := p.current
	p.current = nil
	if c == nil {
		return
	}
	if c.nacks == 0 {
		t.raiseHealth(1)
	}
	t.suspect(c.target, now)
}

// pickTarget returns the next live member of the region, or nil.
func (p *prober) pickTarget(t *Table) *entry {
	if len(p.order) == 0 {
		p.order = slices.Clone(t.index.regions[t.self.Region])
		t.rng.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	for len(p.order) > 0 {
		e := p.order[len(p.order)-1]
		p.order = p.order[:len(p.order)-1]
		if e != t.self && !e.State.gone() {
			return e
		}
	}
	return nil
}

// askOthers asks some members to probe the target in our stead.
func (p *prober) askOthers(t *Table, now time.Time) []Packet {
	c := p.current
	c.indirect = true
	var packets []Packet
	ok := func(e *entry) bool { return e != t.self && e != c.target && e.State == Alive }
	for _, e := range t.index.pick(t.rng, t.self.Region, t.cfg.IndirectProbes, ok) {
		msg := &wire.GossipPacket{
			Kind:       wire.PacketKind_PACKET_KIND_PING_REQ,
			Sequence:   c.seq,
			TargetId:   c.target.ID,
			TargetAddr: packAddr(c.target.GossipAddr),
		}
		packets = append(packets, t.packet(e.GossipAddr, msg, now))
	}
	return packets
}

// ping returns a ping to e, which also tells e if it is suspected.
func (t *Table) ping(e *entry, seq uint32, now time.Time) Packet {
	msg := &wire.GossipPacket{
		Kind:     wire.PacketKind_PACKET_KIND_PING,
		Sequence: seq,
		TargetId: e.ID,
	}
	if e.State == Suspect || e.State.gone() {
		msg.Events = append(msg.Events, record(e))
	}
	return t.packet(e.GossipAddr, msg, now)
}

// handlePingReq pings the target for the sender. If the target's address is now
// that of this process, the answer is at hand.
func (p *prober) handlePingReq(t *Table, from string, msg *wire.GossipPacket, now time.Time) ([]Packet, error) {
	addr, err := unpackAddr(msg.TargetAddr)
	if err != nil {
		return nil, err
	}
	if addr == t.self.GossipAddr {
		return t.ack(from, msg, t.index.byID[msg.From], now), nil
	}
	if len(p.relays) >= maxRelays || t.out.Room(now) <= -maxAckDebt {
		return nil, nil
	}
	p.seq++
	p.relays[p.seq] = &relay{to: from, seq: msg.Sequence, started: now}
	ping := &wire.GossipPacket{
		Kind:     wire.PacketKind_PACKET_KIND_PING,
		Sequence: p.seq,
		TargetId: msg.TargetId,
	}
	return []Packet{t.packet(addr, ping, now)}, nil
}

// tickRelays tells the asking nodes about targets that have not answered.
func (p *prober) tickRelays(t *Table, now time.Time) []Packet {
	var packets []Packet
	for _, seq := range sortedKeys(p.relays) {
		r := p.relays[seq]
		age := now.Sub(r.started)
		if age >= t.cfg.ProbeInterval {
			delete(p.relays, seq)
			continue
		}
		if r.nacked || age < t.cfg.ProbeTimeout {
			continue
		}
		r.nacked = true
		nack := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_NACK, Sequence: r.seq}
		packets = append(packets, t.packet(r.to, nack, now))
	}
	return packets
}

// handleAck ends the probe in progress or passes the answer on to the asking
// node. The answer names who gave it: another member at the address of the
// target means that the target's process is gone.
func (p *prober) handleAck(t *Table, msg *wire.GossipPacket, now time.Time) []Packet {
	if r := p.relays[msg.Sequence]; r != nil {
		delete(p.relays, msg.Sequence)
		ack := &wire.GossipPacket{
			Kind:     wire.PacketKind_PACKET_KIND_ACK,
			Sequence: r.seq,
			TargetId: msg.TargetId,
		}
		return []Packet{t.packet(r.to, ack, now)}
	}
	c := p.current
	if c == nil || c.seq != msg.Sequence {
		return nil
	}
	p.current = nil
	t.raiseHealth(-1)
	if msg.TargetId == c.target.ID {
		t.answered(c.target)
		return nil
	}
	if !c.target.State.gone() && msg.TargetId != "" {
		t.declareDead(c.target, now)
	}
	return nil
}

// answered notes that e answered a probe. A suspect stays one until it refutes,
// so that all nodes agree; only a leaving member, whose suspicion is local, is
// cleared.
func (t *Table) answered(e *entry) {
	if e.State == Leaving {
		t.clearSuspicion(e)
	}
}

// handleNack notes that a relay lives.
func (p *prober) handleNack(msg *wire.GossipPacket) {
	if p.current != nil && p.current.seq == msg.Sequence {
		p.current.nacks++
	}
}

// revive pings a random dead member of the region now and then, which learns
// from it that it was declared dead and refutes. Without it, two parts of a
// region that declared each other dead would not meet again.
func (t *Table) revive(now time.Time) []Packet {
	if now.Before(t.nextRevive) {
		return nil
	}
	t.nextRevive = now.Add(jitter(t.rng, t.cfg.ReviveInterval))
	if len(t.index.tombstones) == 0 || t.out.Room(now) <= 0 {
		return nil
	}
	e := t.index.tombstones[t.rng.IntN(len(t.index.tombstones))]
	if e.State != Dead || e.Region != t.self.Region || e.GossipAddr == "" || e.GossipAddr == t.self.GossipAddr {
		return nil
	}
	return []Packet{t.ping(e, 0, now)}
}
