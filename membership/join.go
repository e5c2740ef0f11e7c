package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// joinContacts is the number of contacts asked at one time.
const joinContacts = 3

// joiner asks contacts for peers while this node knows none.
type joiner struct {
	contacts []string
	next     time.Time
	wait     time.Duration
}

// Join sets the UDP addresses of nodes that may know others and returns the
// packets that ask some of them. While no other member is known, the table asks
// again with a growing wait.
func (t *Table) Join(contacts []string, now time.Time) []Packet {
	t.joiner.contacts = slices.DeleteFunc(slices.Clone(contacts), func(c string) bool {
		return c == t.self.GossipAddr
	})
	t.joiner.wait = t.cfg.JoinRetry
	return t.joiner.ask(t, now)
}

// tick asks again while no other member is known.
func (j *joiner) tick(t *Table, now time.Time) []Packet {
	if t.index.live > 1 || len(j.contacts) == 0 || now.Before(j.next) {
		return nil
	}
	return j.ask(t, now)
}

// ask sends the own record to random contacts.
func (j *joiner) ask(t *Table, now time.Time) []Packet {
	var packets []Packet
	t.rng.Shuffle(len(j.contacts), func(a, b int) { j.contacts[a], j.contacts[b] = j.contacts[b], j.contacts[a] })
	for _, to := range j.contacts[:min(joinContacts, len(j.contacts))] {
		msg := &wire.GossipPacket{
			Kind:   wire.PacketKind_PACKET_KIND_JOIN,
			Events: []*wire.MemberRecord{fullRecord(t.self)},
		}
		packets = append(packets, t.seal(to, msg, now))
	}
	j.next = now.Add(jitter(t.rng, j.wait))
	j.wait = min(2*j.wait, t.cfg.JoinRetryMax)
	return packets
}

// welcomeShare divides the budget among joiners that come at the same time, so
// that many get a short answer and not few a long one.
const welcomeShare = 2

// welcome answers a joining node with this node's record and a sample of
// members, first of the joiner's region. Without budget the joiner has to ask
// again.
func (t *Table) welcome(from string, msg *wire.GossipPacket, now time.Time) []Packet {
	if t.out.Room(now) <= 0 {
		return nil
	}
	push := &wire.GossipPacket{Kind: wire.PacketKind_PACKET_KIND_PUSH}
	push.Events = append(push.Events, fullRecord(t.self))
	size := proto.Size(push) + len(t.self.ID) + recordMargin
	room := min(t.cfg.MaxPacketBytes, t.out.Room(now)/welcomeShare) - size
	joiner := t.index.byID[msg.From]
	ok := func(e *entry) bool { return e != t.self && e != joiner && e.State == Alive }
	for _, e := range t.sample(joiner, ok) {
		r := fullRecord(e)
		if recordSize(r) > room {
			break
		}
		room -= recordSize(r)
		push.Events = append(push.Events, r)
	}
	return []Packet{t.seal(from, push, now)}
}

// recordMargin leaves room for the fields added when a packet is sealed.
const recordMargin = 16

// Numbers of members drawn for a joiner.
const (
	sampleHome  = 6 // of its own region
	sampleOther = 2 // of each other region
)

// sample returns random members, those of the joiner's region first, then some
// of each other region.
func (t *Table) sample(joiner *entry, ok func(*entry) bool) []*entry {
	var home string
	if joiner != nil {
		home = joiner.Region
	}
	sample := t.index.pick(t.rng, home, sampleHome, ok)
	for _, region := range sortedKeys(t.index.regions) {
		if region != home {
			sample = append(sample, t.index.pick(t.rng, region, sampleOther, ok)...)
		}
	}
	return sample
}
