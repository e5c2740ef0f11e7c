package config

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/spread"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const watchRetry = 500 * time.Millisecond // after a failed watch

// run carries out the actions of the contact state; it runs on the control
// goroutine, the calls to the store do not.
func (c *config) run(actions []spread.Action) {
	for _, a := range actions {
		c.log.Info("contact", zap.Stringer("action", a.Kind), zap.String("slot", a.Slot))
		switch a.Kind {
		case spread.ReadSlots:
			go c.readSlots()
		case spread.ClaimSlot:
			go c.claimSlot(a)
		case spread.RenewSlot:
			go c.renewSlot(a)
		case spread.ReleaseSlot:
			go c.revoke(c.ctx, a.Lease)
		case spread.StartWatch:
			c.startWatch()
		case spread.StopWatch:
			c.stopWatch()
		}
	}
}

// readSlots reads the contact slots; nodes found are told to the membership.
func (c *config) readSlots() {
	entries, _, err := c.client.List(c.ctx, spread.SlotPrefix)
	if err != nil {
		c.log.Warn("contact_read_failed", zap.Error(err))
	}
	slots := make([]spread.Slot, 0, len(entries))
	for _, e := range entries {
		slots = append(slots, spread.Slot{Key: e.Key, Value: e.Value})
	}
	c.k.Control.Go(func() {
		c.contacts.SlotsRead(slots, err, time.Now())
		var addrs []string
		for _, p := range c.contacts.Known() {
			addrs = append(addrs, p.GossipAddr)
		}
		if len(addrs) > 0 {
			c.k.Fleet.Join(addrs)
		}
	})
}

func (c *config) claimSlot(a spread.Action) {
	claim := c.claim(a)
	c.log.Info("contact_claimed", zap.String("slot", a.Slot), zap.Bool("ok", claim.OK), zap.Error(claim.Err))
	c.k.Control.Go(func() { c.run(c.contacts.Claimed(claim, time.Now())) })
}

// claim tries to take a slot. It looks first whether the slot is free, because
// the store bears more reads than writes when many nodes start at once.
func (c *config) claim(a spread.Action) spread.Claim {
	claim := spread.Claim{Slot: a.Slot, SentAt: time.Now()}
	e, err := c.client.Get(c.ctx, a.Slot)
	if err == nil {
		claim.Revision = e.Revision
		return claim
	}
	if errs.KindOf(err) != errs.NotFound {
		claim.Err = err
		return claim
	}
	claim.Lease, claim.Err = c.client.Grant(c.ctx, a.TTL)
	if claim.Err != nil {
		return claim
	}
	claim.Revision, claim.Err = c.client.CompareAndSwap(c.ctx, a.Slot, a.Value, 0, claim.Lease)
	if errs.KindOf(claim.Err) == errs.Conflict {
		claim.Err = nil
		c.revoke(c.ctx, claim.Lease)
		return claim
	}
	claim.OK = claim.Err == nil
	return claim
}

func (c *config) renewSlot(a spread.Action) {
	r := spread.Renewal{Slot: a.Slot, Lease: a.Lease, SentAt: time.Now()}
	r.Err = c.client.Renew(c.ctx, a.Lease)
	if errs.KindOf(r.Err) == errs.NotFound {
		r.Err = nil
	} else {
		r.OK = r.Err == nil
	}
	c.k.Control.Go(func() { c.run(c.contacts.Renewed(r, time.Now())) })
}

func (c *config) revoke(ctx context.Context, lease string) {
	if err := c.client.Revoke(ctx, lease); err != nil {
		c.log.Debug("lease_revoke_failed", zap.Error(err))
	}
}

// startWatch runs on the control goroutine.
func (c *config) startWatch() {
	c.stopWatch()
	ctx, cancel := context.WithCancel(c.ctx)
	c.watch = cancel
	go c.follow(ctx)
}

func (c *config) stopWatch() {
	if c.watch != nil {
		c.watch()
		c.watch = nil
	}
}

// follow reads all records and then what changes, until ctx ends.
func (c *config) follow(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		entries, revision, err := c.next(ctx, after)
		if err != nil {
			c.log.Warn("store_watch_failed", zap.Error(err))
			select {
			case <-time.After(watchRetry):
			case <-ctx.Done():
			}
			continue
		}
		if revision < after {
			c.log.Error("store_lost_state", zap.Uint64("seen", after), zap.Uint64("now", revision))
		}
		after = revision
		c.k.Control.Do(func() {
			c.contacts.StoreSeen(revision, time.Now())
			c.put(entries)
		})
	}
}

func (c *config) next(ctx context.Context, after uint64) ([]store.Entry, uint64, error) {
	if after == 0 {
		return c.client.List(ctx, "")
	}
	return c.client.Watch(ctx, "", after)
}
