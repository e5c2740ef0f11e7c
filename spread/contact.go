package spread

import (
	"math/rand/v2"
	"time"
)

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
