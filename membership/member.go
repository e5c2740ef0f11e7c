// Package membership tracks the members of the fleet from their records in the
// store. It also decides which nodes watch the store and when a node must write
// its own record. It does no I/O and reads no clock.
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
	Lapsed       // its record is no longer in the store; it may still answer
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

// BackendStart identifies one start of a backend server instance. As the last start
// that ended, it also covers all earlier starts of the same instance.
type BackendStart struct {
	Instance string // "" if there is none
	Born     int64  // start time in milliseconds since the Unix epoch, 0 if not reported
}

// BornAfter reports whether s is known to have started after o.
func (s BackendStart) BornAfter(o BackendStart) bool {
	return s.Born != 0 && o.Born != 0 && s.Born > o.Born
}

// Valid reports whether the figures of a start are in range.
func (s BackendStart) Valid() bool {
	return len(s.Instance) <= maxNameBytes && s.Born >= 0 && s.Born <= MaxBorn
}

// Member is a node and the backend server beside it.
type Member struct {
	ID      string // unique per process start
	Addr    string // TCP address for other nodes, as IP and port
	Region  string
	Domain  string       // failure domain
	Service string       // "" while no backend server accepts calls
	Slots   int          // calls that the backend server executes concurrently, 0 if not reported
	Ended   BackendStart // last start of a backend server beside the node that accepts no more calls
	State   State
	// Revision is the store revision of the record. It increases whenever the
	// member updates its record.
	Revision uint64
}

// Prefix is the key prefix of member records in the store. The name of the VM
// follows it.
const Prefix = "members/"

// Key returns the record key of the node with that name.
func Key(node string) string { return Prefix + node }

// Limits of the figures of a backend server. A higher one is malformed.
const (
	MaxSlots = 1 << 20
	// MaxBorn is the latest start time, in milliseconds since the Unix epoch: the year 2200. It
	// is far ahead, because clocks may be wrong by years until they are set.
	MaxBorn = 7_258_118_400_000
)

// maxNameBytes is the maximum length of each name in a record.
const maxNameBytes = 128

// Encode returns the member as a record value.
func (m *Member) Encode() []byte {
	return wire.Encode(&wire.MemberRecord{
		Id: m.ID, Addr: m.Addr, Region: m.Region, Domain: m.Domain, Service: m.Service, Slots: uint32(max(m.Slots, 0)),
		EndedInstance: m.Ended.Instance, EndedBorn: m.Ended.Born,
	})
}

// Decode reads a member from its record in the store. Errors are of kind
// errs.Invalid.
func Decode(key string, value []byte, revision uint64) (Member, error) {
	var record wire.MemberRecord
	if err := wire.Decode(value, &record); err != nil {
		return Member{}, err
	}
	m := Member{
		ID: record.GetId(), Addr: record.GetAddr(), Region: record.GetRegion(), Domain: record.GetDomain(), Service: record.GetService(),
		Slots: int(record.GetSlots()), Ended: BackendStart{record.GetEndedInstance(), record.GetEndedBorn()}, State: Alive, Revision: revision,
	}
	vm, ok := strings.CutPrefix(key, Prefix)
	if !ok || !strings.HasPrefix(m.ID, vm+"-") {
		return Member{}, errs.New(errs.Invalid, "check which process writes keys below "+Prefix, "record %q has the member ID %q, which does not begin with the VM in the key", key, m.ID)
	}
	for _, name := range []string{m.ID, m.Region, m.Domain, m.Service, m.Ended.Instance} {
		if len(name) > maxNameBytes {
			return Member{}, errs.New(errs.Invalid, "use shorter names", "record %q contains a name of %d bytes, which is too long", key, len(name))
		}
	}
	addr, err := netip.ParseAddrPort(m.Addr)
	if err != nil {
		return Member{}, errs.Wrap(err, errs.Invalid, "check which process writes keys below "+Prefix, "invalid address %q in record %q", m.Addr, key)
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() || record.GetSlots() > MaxSlots {
		return Member{}, errs.New(errs.Invalid, "check which process writes keys below "+Prefix, "record %q names no backend server that can be called: address %q, %d slots", key, m.Addr, record.GetSlots())
	}
	return m, nil
}
