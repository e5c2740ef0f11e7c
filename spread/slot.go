package spread

import (
	"fmt"
	"time"

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

// Slot is a contact slot as read from the store.
type Slot struct {
	Key   string
	Value []byte
}

// ParseContact returns the holder in the value of a slot, or an error of kind
// errs.Invalid.
func ParseContact(value []byte) (Peer, error) {
	m := &wire.Contact{}
	if err := wire.Decode(value, m); err != nil {
		return Peer{}, err
	}
	if m.Id == "" || m.GossipAddr == "" {
		return Peer{}, errs.New(errs.Invalid, "delete the key or wait until its lease lapses", "contact slot lacks an id or an address")
	}
	return Peer{ID: m.Id, Addr: m.Addr, GossipAddr: m.GossipAddr, Region: m.Region, Domain: m.Domain}, nil
}
