package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// SlotPrefix is the prefix of the keys of all contact slots in the store. One
// read of it gives a starting node its first contacts.
const SlotPrefix = "contact/"

// slotPrefix returns the prefix of the slots of a failure domain.
func slotPrefix(domain string) string { return SlotPrefix + domain + "/" }

// slotKey returns the key of a slot of a failure domain.
func slotKey(domain string, n int) string { return fmt.Sprintf("%s%d", slotPrefix(domain), n) }

// ContactConfig tunes how contact slots are held and claimed.
type ContactConfig struct {
	// SlotsPerDomain is the number of slots in each failure domain. More
	// survive more losses and cost a store watch and renewals each.
	SlotsPerDomain int
	// LeaseTTL is the time after which the store drops a slot whose holder does
	// not renew it.
	LeaseTTL time.Duration
	// RenewInterval is the time between renewals; several must fit in LeaseTTL.
	RenewInterval time.Duration
	// HeartbeatInterval is the time between heartbeats of a holder.
	HeartbeatInterval time.Duration
	// SilenceTime is how long no heartbeat of a slot may come before others
	// claim it. It must exceed LeaseTTL and the time a heartbeat takes to reach
	// all nodes of the failure domain.
	SilenceTime time.Duration
	// RankStep is the time between the claims of two nodes. Shorter fills a slot
	// faster and costs more claims in vain.
	RankStep time.Duration
	// FirstClaimSpread spreads the claims of nodes that started together and
	// found no slot taken. Longer costs fewer claims in vain and delays the
	// first watch.
	FirstClaimSpread time.Duration
	// ReadRetry is the first time between reads of the slots by a node without
	// peers; it doubles up to ReadRetryMax.
	ReadRetry    time.Duration
	ReadRetryMax time.Duration
	// ReadInterval is the mean time between reads of the slots by a holder,
	// which rejoins parts of the fleet that lost each other.
	ReadInterval time.Duration
}

// DefaultContactConfig returns settings for some 13 failure domains: 26 slots
// cost the store 5 renewals a second and 26 watches.
func DefaultContactConfig() ContactConfig {
	return ContactConfig{
		SlotsPerDomain:    2,
		LeaseTTL:          15 * time.Second,
		RenewInterval:     5 * time.Second,
		HeartbeatInterval: 5 * time.Second,
		SilenceTime:       40 * time.Second,
		RankStep:          5 * time.Second,
		FirstClaimSpread:  500 * time.Millisecond,
		ReadRetry:         time.Second,
		ReadRetryMax:      30 * time.Second,
		ReadInterval:      time.Minute,
	}
}

// ActionKind says what the adapter is to do.
type ActionKind uint8

// Kinds of actions.
const (
	ReadSlots   ActionKind = iota + 1 // read all keys under SlotPrefix; answer with SlotsRead
	ClaimSlot                         // create Slot with Value and a new lease of TTL, if absent; answer with Claimed
	RenewSlot                         // renew Lease; answer with Renewed
	ReleaseSlot                       // end Lease; no answer
	StartWatch                        // watch the store and Put what comes; answer with StoreSeen
	StopWatch                         // end the watch; no answer
)

var actionNames = [...]string{"unset", "read_slots", "claim_slot", "renew_slot", "release_slot", "start_watch", "stop_watch"}

// String returns the name used in logs.
func (k ActionKind) String() string {
	if int(k) < len(actionNames) {
		return actionNames[k]
	}
	return fmt.Sprintf("action(%d)", uint8(k))
}

// Action is one thing for the adapter to do.
type Action struct {
	Kind  ActionKind
	Slot  string // key
	Value []byte // of ClaimSlot
	Lease string // of RenewSlot and ReleaseSlot
	TTL   time.Duration
}

// Slot is a contact slot as read from the store.
type Slot struct {
	Key   string
	Value []byte
}

// ParseContact returns the holder in the value of a slot, or an error of kind
// errs.Invalid.
func ParseContact(value []byte) (Peer, error) {
	m := &wire.Contact{}
	if err := decode(value, m); err != nil {
		return Peer{}, err
	}
	if m.Id == "" || m.GossipAddr == "" {
		return Peer{}, errs.New(errs.Invalid, "delete the key or wait until its lease lapses", "contact slot lacks an id or an address")
	}
	return Peer{ID: m.Id, Addr: m.Addr, GossipAddr: m.GossipAddr, Region: m.Region, Domain: m.Domain}, nil
}

// View is what Contacts needs of the membership.
type View struct {
	Peers  int             // other live nodes
	Domain func() []string // ids of the live nodes of the own failure domain, this one included
}

// Contacts decides which nodes hold the contact slots. The holders are the only
// watchers of the store.
//
// A node claims a slot of its failure domain when it has not heard a heartbeat
// of its holder for SilenceTime and its turn has come. Turns follow a rendezvous
// hash of slot and node and are RankStep apart, so that the rate of claims does
// not depend on the number of nodes, also while the store is out.
type Contacts struct {
	cfg      ContactConfig
	self     Peer
	rng      *rand.Rand
	beats    *Heartbeats
	slots    []string  // keys of the slots of the own failure domain
	awake    time.Time // when this process started or last went on after a pause
	lastTick time.Time
	held     *holding
	tried    map[string]time.Time // last claim by slot
	reader   slotReader
	contacts []Peer
	// firstClaim is when to claim a slot after a read found none; zero if not due.
	firstClaim time.Time
	left       bool
}

// holding is a slot that this node holds.
type holding struct {
	slot     string
	lease    string
	epoch    uint64
	sequence uint64
	revision uint64    // store revision seen
	seenAt   time.Time // when a request was sent that the store answered
	renewed  time.Time // when the last successful renewal was sent
	renewAt  time.Time
	beatAt   time.Time
}

// slotReader reads the slots while this node needs contacts.
type slotReader struct {
	next    time.Time
	wait    time.Duration
	started bool // the first read was asked for
}

// NewContacts returns the state of a node that holds no slot.
func NewContacts(cfg ContactConfig, self Peer, beats *Heartbeats, rng *rand.Rand, now time.Time) *Contacts {
	var slots []string
	for n := range cfg.SlotsPerDomain {
		slots = append(slots, slotKey(self.Domain, n))
	}
	return &Contacts{
		cfg:      cfg,
		self:     self,
		rng:      rng,
		beats:    beats,
		slots:    slots,
		awake:    now,
		lastTick: now,
		tried:    map[string]time.Time{},
		reader:   slotReader{next: now, wait: cfg.ReadRetry},
	}
}

// Holding returns the key of the slot that this node holds, or "".
func (c *Contacts) Holding() string {
	if c.held == nil {
		return ""
	}
	return c.held.slot
}

// Known returns the contacts found by the last successful read, without this
// node.
func (c *Contacts) Known() []Peer { return c.contacts }

// Tick returns the actions that are due.
func (c *Contacts) Tick(now time.Time, view View) []Action {
	if c.left {
		return nil
	}
	if now.Sub(c.lastTick) >= c.cfg.HeartbeatInterval {
		c.awake = now
	}
	c.lastTick = now
	actions := c.checkLease(now)
	actions = append(actions, c.readSlots(now, view)...)
	if c.held != nil {
		return append(actions, c.hold(now)...)
	}
	if slot := c.dueSlot(now, view); slot != "" {
		actions = append(actions, c.claim(slot, now))
	}
	return actions
}

// checkLease stops at once when the lease may have lapsed, as after a pause of
// this process.
func (c *Contacts) checkLease(now time.Time) []Action {
	if c.held == nil || now.Sub(c.held.renewed) < c.cfg.LeaseTTL {
		return nil
	}
	return c.drop()
}

// drop gives up the role without a word to the store.
func (c *Contacts) drop() []Action {
	slot := c.held.slot
	c.held = nil
	c.reader.next = time.Time{}
	return []Action{{Kind: StopWatch, Slot: slot}}
}

// hold renews the lease and sends heartbeats.
func (c *Contacts) hold(now time.Time) []Action {
	h := c.held
	if !now.Before(h.beatAt) {
		h.beatAt = now.Add(c.cfg.HeartbeatInterval)
		c.beat(now, false)
	}
	if now.Before(h.renewAt) {
		return nil
	}
	h.renewAt = now.Add(c.cfg.RenewInterval)
	return []Action{{Kind: RenewSlot, Slot: h.slot, Lease: h.lease, TTL: c.cfg.LeaseTTL}}
}

// beat puts out a heartbeat.
func (c *Contacts) beat(now time.Time, released bool) {
	h := c.held
	h.sequence++
	c.beats.put(h.slot, &beat{
		holder:   c.self.ID,
		epoch:    h.epoch,
		sequence: h.sequence,
		revision: h.revision,
		storeAge: now.Sub(h.seenAt),
		released: released,
		at:       now,
	})
}

// readSlots reads the slots once after the start, while this node knows no
// others, and as a holder now and then.
func (c *Contacts) readSlots(now time.Time, view View) []Action {
	r := &c.reader
	if now.Before(r.next) || (r.started && view.Peers > 0 && c.held == nil) {
		return nil
	}
	r.started = true
	wait := c.cfg.ReadInterval
	if view.Peers == 0 {
		wait = r.wait
		r.wait = min(2*r.wait, c.cfg.ReadRetryMax)
	}
	r.next = now.Add(jitter(c.rng, wait))
	return []Action{{Kind: ReadSlots}}
}

// SlotsRead takes in the answer to ReadSlots. Slots that cannot be parsed are
// skipped.
func (c *Contacts) SlotsRead(slots []Slot, err error, now time.Time) {
	if err != nil {
		return
	}
	if len(slots) == 0 && c.held == nil {
		c.firstClaim = now.Add(time.Duration(c.rng.Int64N(int64(c.cfg.FirstClaimSpread))))
	}
	c.contacts = nil
	for _, slot := range slots {
		peer, err := ParseContact(slot.Value)
		if err == nil && peer.ID != c.self.ID {
			c.contacts = append(c.contacts, peer)
		}
	}
}

// dueSlot returns the slot to claim now, or "".
func (c *Contacts) dueSlot(now time.Time, view View) string {
	if slot := c.firstSlot(now); slot != "" {
		return slot
	}
	if view.Peers == 0 {
		return ""
	}
	for _, slot := range c.slots {
		silence := now.Sub(c.silentSince(slot))
		if silence < c.cfg.SilenceTime {
			continue
		}
		members := view.Domain()
		turn := time.Duration(rank(slot, c.self.ID, members)) * c.cfg.RankStep
		cycle := time.Duration(max(len(members), 1)) * c.cfg.RankStep
		if silence >= c.cfg.SilenceTime+turn && now.Sub(c.tried[slot]) >= cycle {
			return slot
		}
	}
	return ""
}

// firstSlot returns the slot to claim by a node that found no slot taken when
// it started, as when the fleet starts for the first time, or "".
func (c *Contacts) firstSlot(now time.Time) string {
	if c.firstClaim.IsZero() || now.Before(c.firstClaim) {
		return ""
	}
	c.firstClaim = time.Time{}
	slot := c.slots[0]
	if c.beats.bySlot[slot] != nil {
		return ""
	}
	return slot
}

// silentSince returns the time from which the silence of a slot counts, at the
// earliest from when this process went on after a pause. A holder that gave up
// its slot is followed without waiting for SilenceTime. One that does not reach
// the store lets its lease lapse and falls silent.
func (c *Contacts) silentSince(slot string) time.Time {
	b := c.beats.bySlot[slot]
	if b == nil {
		return c.awake
	}
	if b.released {
		return b.at.Add(-c.cfg.SilenceTime)
	}
	return later(b.at, c.awake)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// rank returns the number of members that come before id for a slot, by
// rendezvous hashing (Thaler and Ravishankar, 1998).
func rank(slot, id string, members []string) int {
	own := xxhash.Sum64String(slot + "\x00" + id)
	before := 0
	for _, m := range members {
		if m != id && xxhash.Sum64String(slot+"\x00"+m) > own {
			before++
		}
	}
	return before
}

// claim returns the action that tries to take a slot.
func (c *Contacts) claim(slot string, now time.Time) Action {
	c.tried[slot] = now
	value := encode(&wire.Contact{
		Id:         c.self.ID,
		Addr:       c.self.Addr,
		GossipAddr: c.self.GossipAddr,
		Region:     c.self.Region,
		Domain:     c.self.Domain,
	})
	return Action{Kind: ClaimSlot, Slot: slot, Value: value, TTL: c.cfg.LeaseTTL}
}

// Claim is the answer of the store to ClaimSlot.
type Claim struct {
	Slot     string
	OK       bool   // the slot was free and is now held
	Lease    string // id of the lease
	Revision uint64 // store revision that created the slot, or that was read
	Err      error  // the outcome is not known; a slot taken by it lapses
	SentAt   time.Time
}

// Claimed takes in the answer to ClaimSlot. An answer that came so late that
// the lease may have lapsed is no success.
func (c *Contacts) Claimed(claim Claim, now time.Time) []Action {
	if claim.Err != nil {
		return nil
	}
	if !claim.OK {
		c.reader.next = now.Add(jitter(c.rng, c.cfg.ReadRetry))
		return nil
	}
	if c.held != nil || c.left || now.Sub(claim.SentAt) >= c.cfg.LeaseTTL {
		return []Action{{Kind: ReleaseSlot, Slot: claim.Slot, Lease: claim.Lease}}
	}
	c.held = &holding{
		slot:     claim.Slot,
		lease:    claim.Lease,
		epoch:    claim.Revision,
		revision: claim.Revision,
		seenAt:   claim.SentAt,
		renewed:  claim.SentAt,
		renewAt:  claim.SentAt.Add(c.cfg.RenewInterval),
		beatAt:   now,
	}
	return append([]Action{{Kind: StartWatch, Slot: claim.Slot}}, c.hold(now)...)
}

// Renewal is the answer of the store to RenewSlot.
type Renewal struct {
	Slot   string
	Lease  string
	OK     bool  // the lease was renewed; false if it had lapsed
	Err    error // the outcome is not known
	SentAt time.Time
}

// Renewed takes in the answer to RenewSlot.
func (c *Contacts) Renewed(r Renewal, now time.Time) []Action {
	h := c.held
	if h == nil || r.Lease != h.lease {
		return nil
	}
	if actions := c.checkLease(now); actions != nil {
		return actions
	}
	if r.Err != nil {
		h.renewAt = earlier(h.renewAt, now.Add(jitter(c.rng, c.cfg.ReadRetry)))
		return nil
	}
	if !r.OK {
		return c.drop()
	}
	h.renewed = later(h.renewed, r.SentAt)
	h.seenAt = later(h.seenAt, r.SentAt)
	return nil
}

// StoreSeen notes that the watch of this holder got an answer from the store.
func (c *Contacts) StoreSeen(revision uint64, now time.Time) {
	if c.held == nil {
		return
	}
	c.held.revision = max(c.held.revision, revision)
	c.held.seenAt = later(c.held.seenAt, now)
}

// Leave gives the slot up, so that others claim it at once, and claims no more.
func (c *Contacts) Leave(now time.Time) []Action {
	c.left = true
	if c.held == nil {
		return nil
	}
	c.beat(now, true)
	release := Action{Kind: ReleaseSlot, Slot: c.held.slot, Lease: c.held.lease}
	return append(c.drop(), release)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
