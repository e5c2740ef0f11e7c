package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

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
	value := wire.Encode(&wire.Contact{
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
