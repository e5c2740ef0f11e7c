package spread

import (
	"fmt"
	"time"
)

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
