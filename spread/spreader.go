package spread

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// Peer is another node.
type Peer struct {
	ID         string
	Addr       string // TCP address
	GossipAddr string // UDP address
	Region     string
	Domain     string // failure domain
}

// Peers gives access to the other live nodes.
type Peers interface {
	// Regions returns the names of all regions with live nodes.
	Regions() []string
	// Size returns the number of live nodes of a region.
	Size(region string) int
	// Pick returns up to n distinct random nodes of a region but this one.
	Pick(region string, n int) []Peer
	// Lookup returns a node by its id.
	Lookup(id string) (Peer, bool)
}

// Message is one datagram to send.
type Message struct {
	To      string // UDP address
	Payload []byte // at most Config.MaxPacketBytes
}

// Stats counts what the spreader did since its start.
type Stats struct {
	Malformed   uint64 // messages or records that could not be taken in
	PacketsSent uint64
	BytesSent   uint64 // datagrams and syncs, headers included
	Syncs       uint64
	BusyReplies uint64
	Skipped     uint64 // pushes left to the digests for lack of budget
}

// Spreader holds the newest record of each key and passes on what is new.
type Spreader struct {
	cfg   Config
	self  Peer
	rng   *rand.Rand
	set   recordSet
	beats *Heartbeats
	out   bytelimit.Bucket
	sync  syncer
	stats Stats

	floor      uint64              // highest revision heard of
	pending    map[string]struct{} // keys to push
	own        map[string]struct{} // pending keys that came in here first
	changes    []Record
	changedAt  time.Time
	nextDigest time.Time
}

// New returns a spreader without records.
func New(cfg Config, self Peer, rng *rand.Rand, now time.Time) *Spreader {
	s := &Spreader{
		cfg:        cfg,
		self:       self,
		rng:        rng,
		set:        newRecordSet(),
		beats:      NewHeartbeats(self.Domain, rng),
		out:        bytelimit.New(cfg.BytesPerSecond, cfg.BurstBytes, now),
		pending:    map[string]struct{}{},
		own:        map[string]struct{}{},
		changedAt:  now,
		nextDigest: now.Add(time.Duration(rng.Int64N(int64(cfg.DigestInterval)))),
	}
	s.sync.init(cfg, now)
	return s
}

// Heartbeats returns the heartbeats of contacts, which travel with the digests.
func (s *Spreader) Heartbeats() *Heartbeats { return s.beats }

// Stats returns the counters.
func (s *Spreader) Stats() Stats { return s.stats }

// Floor returns the highest revision heard of from any node or the store.
func (s *Spreader) Floor() uint64 { return s.floor }

// Held returns the highest revision of a record held.
func (s *Spreader) Held() uint64 { return s.set.held }

// Get returns the record of a key; deleted ones have Deleted set.
func (s *Spreader) Get(key string) (Record, bool) {
	r := s.set.byKey[key]
	if r == nil {
		return Record{}, false
	}
	return r.Record, true
}

// Records returns all records, deleted ones included, in the order of their
// revisions.
func (s *Spreader) Records() []Record {
	var list []Record
	for _, r := range s.set.after(0) {
		list = append(list, r.Record)
	}
	return list
}

// Changes returns the records that changed since the last call, in the order in
// which they came.
func (s *Spreader) Changes() []Record {
	changes := s.changes
	s.changes = nil
	return changes
}

// Put takes over a record from the store or from an operator's accepted change,
// if its revision is higher than the one held, and pushes it on the next tick.
// It returns an error of kind errs.Invalid if the record cannot be spread.
func (s *Spreader) Put(r Record, now time.Time) (changed bool, err error) {
	if err := r.Validate(); err != nil {
		s.stats.Malformed++
		return false, err
	}
	if !s.apply(r, nil, now) {
		return false, nil
	}
	s.own[r.Key] = struct{}{}
	return true, nil
}

// apply takes over a valid record if it is newer. m is the message that brought
// it, or nil.
func (s *Spreader) apply(r Record, m *wire.ConfigRecord, now time.Time) bool {
	s.floor = max(s.floor, r.Revision)
	if !s.set.put(r, m) {
		return false
	}
	s.changedAt = now
	s.changes = append(s.changes, r)
	s.pending[r.Key] = struct{}{}
	s.sync.got(r)
	return true
}

// applyAll takes over the records of a message and goes on after bad ones.
func (s *Spreader) applyAll(from string, records []*wire.ConfigRecord, now time.Time) error {
	var first error
	for _, m := range records {
		r, err := fromWire(m)
		if err != nil {
			s.stats.Malformed++
			if first == nil {
				first = err
			}
			continue
		}
		if m.Advert {
			s.heardOf(from, &r)
			continue
		}
		s.apply(r, m, now)
	}
	return first
}

// heardOf notes that a peer holds a revision of a key.
func (s *Spreader) heardOf(from string, r *Record) {
	s.floor = max(s.floor, r.Revision)
	if r.Revision > s.set.revision(r.Key) {
		s.sync.want(r.Key, r.Revision, from)
	}
}

// Tick returns the messages that are due. It is called about ten times a second.
func (s *Spreader) Tick(now time.Time, peers Peers) []Message {
	messages := s.push(now, peers)
	messages = append(messages, s.pushBeats(now, peers)...)
	if now.Before(s.nextDigest) {
		return messages
	}
	s.nextDigest = now.Add(jitter(s.rng, s.cfg.DigestInterval))
	return append(messages, s.digests(now, peers)...)
}

// push sends the records that are new here to random peers of the region, and
// with a share that falls with the size of the region to each other region.
func (s *Spreader) push(now time.Time, peers Peers) []Message {
	if len(s.pending) == 0 {
		return nil
	}
	home := peers.Pick(s.self.Region, s.cfg.Fanout)
	share := s.cfg.CrossSends / float64(max(peers.Size(s.self.Region), 1))
	var all, cross []*stored
	targets := s.crossTargets(peers)
	for _, key := range sortedKeys(s.pending) {
		all = append(all, s.set.byKey[key])
	}
	var messages []Message
	for _, p := range home {
		messages = append(messages, s.pushTo(p, all, now)...)
	}
	for _, p := range targets {
		cross = cross[:0]
		for _, r := range all {
			if _, own := s.own[r.Key]; own || s.rng.Float64() < share {
				cross = append(cross, r)
			}
		}
		messages = append(messages, s.pushTo(p, cross, now)...)
	}
	clear(s.pending)
	clear(s.own)
	return messages
}

// pushBeats tells some peers of the region at once that a slot changed hands,
// so that few others claim it too.
func (s *Spreader) pushBeats(now time.Time, peers Peers) []Message {
	if !s.beats.fresh || s.out.Room(now) <= 0 {
		return nil
	}
	s.beats.fresh = false
	var messages []Message
	for _, p := range peers.Pick(s.self.Region, s.cfg.Fanout) {
		messages = append(messages, s.seal(p.GossipAddr, s.digest(false, now), now))
	}
	return messages
}

// crossTargets returns one random node of each other region.
func (s *Spreader) crossTargets(peers Peers) []Peer {
	var targets []Peer
	for _, region := range peers.Regions() {
		if region != s.self.Region {
			targets = append(targets, peers.Pick(region, 1)...)
		}
	}
	return targets
}

// pushTo returns the messages that carry records to one peer. What exceeds the
// byte budget is left to the digests.
func (s *Spreader) pushTo(p Peer, records []*stored, now time.Time) []Message {
	var messages []Message
	for len(records) > 0 {
		if s.out.Room(now) <= 0 {
			s.stats.Skipped += uint64(len(records))
			return messages
		}
		msg := s.header()
		n := s.fill(msg, records)
		records = records[n:]
		messages = append(messages, s.seal(p.GossipAddr, msg, now))
	}
	return messages
}

// header returns a packet that tells who this node is and what it has seen.
func (s *Spreader) header() *wire.SpreadPacket {
	return &wire.SpreadPacket{From: s.self.ID, Held: s.set.held, Floor: s.floor}
}

// fill adds records as long as they fit and returns how many; at least one.
func (s *Spreader) fill(msg *wire.SpreadPacket, records []*stored) int {
	room := s.cfg.MaxPacketBytes - proto.Size(msg)
	for i := range records {
		m := records[i].wire
		if len(m.Value) > s.cfg.InlineBytes {
			m = records[i].advert()
		}
		room -= fieldSize(m)
		if room < 0 && i > 0 {
			return i
		}
		msg.Records = append(msg.Records, m)
	}
	return len(records)
}

// seal encodes msg and takes it out of the budget.
func (s *Spreader) seal(to string, msg *wire.SpreadPacket, now time.Time) Message {
	payload := wire.Encode(msg)
	s.spend(len(payload)+bytelimit.DatagramOverhead, now)
	s.stats.PacketsSent++
	return Message{To: to, Payload: payload}
}

// spend takes n sent bytes out of the budget.
func (s *Spreader) spend(n int, now time.Time) {
	s.out.Room(now)
	s.out.Spend(n)
	s.stats.BytesSent += uint64(n)
}

// Handle takes in a datagram and returns the answers. Malformed input is
// counted and gives an error of kind errs.Invalid; valid records in the same
// packet are still taken over.
func (s *Spreader) Handle(from string, payload []byte, now time.Time) ([]Message, error) {
	msg := &wire.SpreadPacket{}
	if err := wire.Decode(payload, msg); err != nil {
		s.stats.Malformed++
		return nil, err
	}
	if msg.From == "" || msg.From == s.self.ID {
		s.stats.Malformed++
		return nil, errs.New(errs.Invalid, "give each process start its own id", "packet from %s carries the sender id %q", from, msg.From)
	}
	s.floor = max(s.floor, msg.Floor, msg.Held)
	err := s.applyAll(msg.From, msg.Records, now)
	s.beats.merge(msg.Heartbeats, now)
	return s.compareDigest(from, msg, now), err
}
