// Package membership keeps the members of the fleet, as their records in the
// store tell, and decides which nodes watch the store and when a node has to
// write its own record again. It does no I/O and reads no clock.
package membership

import (
	"net/netip"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// State is the state of a member.
type State uint8

// States of a member.
const (
	Alive  State = iota + 1
	Lapsed       // its record is gone; it may still answer
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Lapsed:
		return "lapsed"
	}
	return "unset"
}

// BackendStart is one start of a backend server. As the last that ended, it stands for
// all of the instance that were born up to that time.
type BackendStart struct {
	Instance string // "" for none
	Born     int64  // milliseconds since 1970, 0 if not told
}

// Member is one node and the backend server beside it.
type Member struct {
	ID      string // unique per process start
	Addr    string // TCP address between nodes, IP and port
	Region  string
	Domain  string // failure domain
	Service string // "" while no backend server takes work
	Slots   int    // calls that the backend server executes at once, 0 if not told
	Ended   BackendStart  // of the backend server beside it, the last to take no more calls
	State   State
	// Revision of the record in the store. It rises with each statement of the
	// member about itself.
	Revision uint64
}

// Prefix of the keys of members in the store; the name of the VM follows.
const Prefix = "members/"

// Key returns the key of the node with that name.
func Key(node string) string { return Prefix + node }

// maxNameBytes bounds each name in a record.
const maxNameBytes = 128

// Encode returns the value of the member's key.
func (m *Member) Encode() []byte {
	return wire.Encode(&wire.MemberRecord{
		Id: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain, Service: m.Service, Slots: uint32(max(m.Slots, 0)),
		EndedInstance: m.Ended.Instance, EndedBorn: m.Ended.Born,
	})
}

// Decode reads the value of a member's key, or returns an error of kind
// errs.Invalid.
func Decode(key string, value []byte, revision uint64) (Member, error) {
	var r wire.MemberRecord
	if err := wire.Decode(value, &r); err != nil {
		return Member{}, err
	}
	m := Member{
		ID: r.GetId(), Addr: r.GetAddr(), Region: r.GetRegion(), Domain: r.GetDomain(), Service: r.GetService(),
		Slots: int(r.GetSlots()), Ended: BackendStart{r.GetEndedInstance(), r.GetEndedBorn()}, State: Alive, Revision: revision,
	}
	if !strings.HasPrefix(key, Prefix) || m.ID == "" {
		return Member{}, errs.New(errs.Invalid, "check who writes below "+Prefix, "record %q names no member", key)
	}
	for _, name := range []string{m.ID, m.Region, m.Domain, m.Service, m.Ended.Instance} {
		if len(name) > maxNameBytes {
			return Member{}, errs.New(errs.Invalid, "use shorter names", "record %q holds a name of %d bytes", key, len(name))
		}
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil {
		return Member{}, errs.Wrap(err, errs.Invalid, "check who writes below "+Prefix, "address %q of record %q", m.Addr, key)
	}
	return m, nil
}
