package membership

import (
	"fmt"
	"net/netip"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// State is the state of a member.
type State uint8

// States of a member.
const (
	Alive   State = iota + 1
	Suspect       // did not answer a probe, may still refute
	Leaving       // shuts down gracefully, takes no new work
	Dead          // declared dead by its region
	Left          // stopped after a graceful shutdown
)

var stateNames = [...]string{"unset", "alive", "suspect", "leaving", "dead", "left"}

// String returns the name used in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// gone reports whether a member in this state is kept only as a tombstone.
func (s State) gone() bool { return s == Dead || s == Left }

// ProtocolVersion is the version of the membership protocol of this build.
const ProtocolVersion = 1

// Member is one node and the backend server beside it.
type Member struct {
	ID          string // unique per process start
	Addr        string // TCP address between nodes, IP and port
	GossipAddr  string // UDP address, IP and port
	Region      string
	Domain      string // failure domain
	Service     string // "" while no backend server has announced itself
	State       State
	Incarnation uint64 // raised by the member alone
	Version     uint32 // protocol version
}

// Validate returns an error of kind errs.Invalid if m cannot be a member.
func (m *Member) Validate() error {
	if m.ID == "" || len(m.ID) > maxNameBytes {
		return errs.New(errs.Invalid, "give each process start its own short id", "member id %q has %d bytes, allowed are 1 to %d", m.ID, len(m.ID), maxNameBytes)
	}
	for _, name := range []string{m.Region, m.Domain, m.Service} {
		if len(name) > maxNameBytes {
			return errs.New(errs.Invalid, "use shorter names", "name %q of member %s exceeds %d bytes", name, m.ID, maxNameBytes)
		}
	}
	for _, addr := range []string{m.Addr, m.GossipAddr} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return errs.Wrap(err, errs.Invalid, "set an IP address and a port", "address %q of member %s", addr, m.ID)
		}
	}
	return nil
}

// maxNameBytes limits ids and names, so that a record always fits a packet.
const maxNameBytes = 96

// EventKind says what changed about a member.
type EventKind uint8

// Kinds of events.
const (
	Joined EventKind = iota + 1
	Updated
	Suspected
	Recovered // a suspect or dead member refuted
	BeganLeaving
	DeclaredDead
	DeclaredLeft
	SelfRefuted // this node was suspected or declared dead and refuted
	SelfPaused  // this node did not run for a while
)

var eventNames = [...]string{"unset", "joined", "updated", "suspected", "recovered", "leaving", "dead", "left", "self_refuted", "self_paused"}

// String returns the name used in logs.
func (k EventKind) String() string {
	if int(k) < len(eventNames) {
		return eventNames[k]
	}
	return fmt.Sprintf("event(%d)", uint8(k))
}

// Event is one change for the log.
type Event struct {
	Kind   EventKind
	Member Member
}
