package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Packet is one datagram to send.
type Packet struct {
	To      string // UDP address
	Payload []byte // at most Config.MaxPacketBytes
}

// Stats counts what the table did since its start.
type Stats struct {
	Malformed     uint64 // messages or records that could not be decoded
	Ignored       uint64 // records in a state of a newer version
	PacketsSent   uint64
	BytesSent     uint64 // datagrams and exchanges, headers included
	ExchangesSent uint64
	BusyReplies   uint64
	Health        int // local health score, 0 is healthy
}

// Table is the list of members as one node knows it. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	self    *entry
	index   *index
	queue   *queue
	out     bytelimit.Bucket
	prober  prober
	syncer  syncer
	joiner  joiner
	health  int
	version uint64
	events  []Event
	stats   Stats

	lastTick   time.Time
	lastHeard  time.Time // when another member last answered
	nextPush   time.Time
	nextRevive time.Time
	suspects   map[string]*entry // members of this region with a suspicion
}

// New returns a table that knows only self, which starts Alive. It returns an
// error of kind errs.Invalid if self lacks an id or a valid address.
func New(cfg Config, self Member, rng *rand.Rand, now time.Time) (*Table, error) {
	if err := self.Validate(); err != nil {
		return nil, err
	}
	self.State = Alive
	self.Incarnation = max(self.Incarnation, 1)
	self.Version = ProtocolVersion
	t := &Table{
		cfg:        cfg,
		rng:        rng,
		index:      newIndex(),
		queue:      newQueue(),
		out:        bytelimit.New(cfg.BytesPerSecond, cfg.BurstBytes, now),
		suspects:   map[string]*entry{},
		lastTick:   now,
		lastHeard:  now,
		nextPush:   now,
		nextRevive: now.Add(cfg.ReviveInterval),
	}
	t.self = &entry{Member: self, hash: idHash(self.ID), since: now}
	t.index.add(t.self)
	t.prober.init(t, now)
	t.syncer.init(t, now)
	return t, nil
}

// Self returns this node's own record.
func (t *Table) Self() Member { return t.self.Member }

// Version rises with each change of a member.
func (t *Table) Version() uint64 { return t.version }

// Stats returns the counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Health = t.health
	return s
}

// Members returns the members that have announced a service and may be given
// work: Alive and Suspect ones.
func (t *Table) Members(service string) []Member {
	var members []Member
	for _, e := range t.index.services[service] {
		if e.State == Alive || e.State == Suspect {
			members = append(members, e.Member)
		}
	}
	sortByID(members)
	return members
}

// All returns all members that are not gone, leaving ones included.
func (t *Table) All() []Member {
	members := make([]Member, 0, t.index.live)
	for _, list := range t.index.regions {
		for _, e := range list {
			members = append(members, e.Member)
		}
	}
	sortByID(members)
	return members
}

// Live returns the number of members that are not gone.
func (t *Table) Live() int { return t.index.live }

// Each calls f for each member that is not gone, in no particular order. f must
// not keep the pointer.
func (t *Table) Each(f func(*Member)) {
	for _, list := range t.index.regions {
		for _, e := range list {
			f(&e.Member)
		}
	}
}

// Lookup returns a member or a tombstone by its id.
func (t *Table) Lookup(id string) (Member, bool) {
	e := t.index.byID[id]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Regions returns the names of the regions with live members, in order.
func (t *Table) Regions() []string { return sortedKeys(t.index.regions) }

// Size returns the number of live members of a region.
func (t *Table) Size(region string) int { return len(t.index.regions[region]) }

// Pick returns up to n distinct random live members of a region but this node.
func (t *Table) Pick(region string, n int) []Member {
	var members []Member
	for _, e := range t.index.pick(t.rng, region, n, t.notSelf) {
		members = append(members, e.Member)
	}
	return members
}

// Events returns what changed since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

// Announce sets the service of the backend server beside this node; "" withdraws
// it. It returns an error of kind errs.Invalid if the name is too long.
func (t *Table) Announce(service string, now time.Time) error {
	if len(service) > maxNameBytes {
		return errs.New(errs.Invalid, "use a shorter service name", "service name of %d bytes exceeds %d", len(service), maxNameBytes)
	}
	if service == t.self.Service {
		return nil
	}
	t.changeSelf(t.self.Incarnation+1, now, func(m *Member) { m.Service = service })
	return nil
}

// Leave marks this node as Leaving and returns the packets that tell it at once.
func (t *Table) Leave(now time.Time) []Packet {
	if t.self.State != Alive {
		return nil
	}
	t.changeSelf(t.self.Incarnation+1, now, func(m *Member) { m.State = Leaving })
	return t.push(now)
}

// Stop marks this node as Left, for the end of a graceful shutdown, and returns
// the packets that tell it. The table sends nothing on its own afterwards.
func (t *Table) Stop(now time.Time) []Packet {
	if t.self.State == Left {
		return nil
	}
	t.changeSelf(t.self.Incarnation+1, now, func(m *Member) { m.State = Left })
	return t.push(now)
}

// Tick advances time and returns the packets that are due. It is called about
// ten times a second.
func (t *Table) Tick(now time.Time) []Packet {
	t.checkPause(now)
	if t.self.State == Left {
		return nil
	}
	packets := t.prober.tick(t, now)
	packets = append(packets, t.expireSuspicions(now)...)
	t.index.expire(t.cfg.TombstoneTime, now)
	packets = append(packets, t.joiner.tick(t, now)...)
	packets = append(packets, t.revive(now)...)
	if !now.Before(t.nextPush) {
		packets = append(packets, t.push(now)...)
	}
	return packets
}

// checkPause notices that this process did not run for a while. Suspicions
// raised before may be due to the pause, and others may suspect this node.
func (t *Table) checkPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < t.cfg.PauseGap {
		return
	}
	for _, e := range t.suspects {
		e.suspicion.start = now
	}
	t.prober.reset(t, now)
	t.health = t.cfg.MaxHealth
	t.log(SelfPaused, t.self)
	if t.self.State != Left {
		t.changeSelf(t.self.Incarnation+1, now, func(*Member) {})
	}
}

// changeSelf raises the own incarnation and spreads the own record.
func (t *Table) changeSelf(incarnation uint64, now time.Time, f func(*Member)) {
	t.index.change(t.self, func() {
		t.self.Incarnation = incarnation
		f(&t.self.Member)
	})
	t.self.since = now
	t.version++
	t.spread(t.self, urgencyOf(t.self.State), now)
}

// urgencyOf returns how urgent the news is that a member entered a state.
func urgencyOf(state State) urgency {
	switch state {
	case Leaving, Left:
		return urgent
	case Alive:
		return soon
	}
	return bulk
}

// spread queues the record of e.
func (t *Table) spread(e *entry, u urgency, now time.Time) {
	mult, least := t.cfg.BulkRetransmitMult, minTransmits
	if u == urgent {
		mult, least = t.cfg.RetransmitMult, minUrgentTransmits
	}
	if u != bulk {
		t.nextPush = now
	}
	size := len(t.index.regions[t.self.Region])
	limit := max(least, int(math.Ceil(mult*math.Log2(float64(size+1)))))
	b := t.queue.put(record(e), u, limit)
	if e.State != Suspect {
		t.spreadCross(e, b, size)
	}
}

// Least numbers of sends of one event, which matter in small regions.
const (
	minTransmits       = 6
	minUrgentTransmits = 12
)

// spreadCross draws which other regions this node tells. Over all nodes of the
// region the expected number of sends to each is Config.CrossSends, whatever
// the size of the region. The subject of an event always tells each region.
func (t *Table) spreadCross(e *entry, b *broadcast, size int) {
	share := t.cfg.CrossSends / float64(max(size, 1))
	if b.urgency == urgent {
		share *= 2
	}
	for _, region := range t.otherRegions() {
		if e == t.self || t.rng.Float64() < share {
			t.queue.putCross(region, b)
		}
	}
}

// otherRegions returns the names of the regions with live members but the own
// one, in a fixed order.
func (t *Table) otherRegions() []string {
	var names []string
	for name := range t.index.regions {
		if name != t.self.Region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// maxEvents limits the events kept for a caller that does not drain them.
const maxEvents = 10000

// log records an event.
func (t *Table) log(kind EventKind, e *entry) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, Event{Kind: kind, Member: e.Member})
	}
}

// notSelf accepts all members but this node.
func (t *Table) notSelf(e *entry) bool { return e != t.self }

func sortByID(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}
