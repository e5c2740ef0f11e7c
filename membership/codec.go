package membership

import (
	"net/netip"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
	"google.golang.org/protobuf/proto"
)

// maxExtraBytes limits the unknown fields kept for one record.
const maxExtraBytes = 128

// packAddr returns the binary form of an IP address and port, or nil.
func packAddr(addr string) []byte {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	b, err := ap.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// unpackAddr is the inverse of packAddr.
func unpackAddr(b []byte) (string, error) {
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(b); err != nil || !ap.IsValid() {
		return "", errs.New(errs.Invalid, "check the sender's version", "address of %d bytes cannot be decoded", len(b))
	}
	return ap.String(), nil
}

// fullRecord returns the record of e with all fields, also those that this
// version does not know.
func fullRecord(e *entry) *wire.MemberRecord {
	r := &wire.MemberRecord{
		Id:          e.ID,
		State:       wire.MemberState(e.State),
		Incarnation: e.Incarnation,
		Addr:        packAddr(e.Addr),
		Region:      e.Region,
		Domain:      e.Domain,
		Service:     e.Service,
		Version:     e.Version,
	}
	if e.GossipAddr != e.Addr {
		r.GossipAddr = packAddr(e.GossipAddr)
	}
	if len(e.extra) > 0 {
		r.ProtoReflect().SetUnknown(e.extra)
	}
	return r
}

// shortRecord returns the record of e without what receivers know already.
func shortRecord(e *entry, suspector uint32) *wire.MemberRecord {
	return &wire.MemberRecord{
		Id:          e.ID,
		State:       wire.MemberState(e.State),
		Incarnation: e.Incarnation,
		Suspector:   suspector,
	}
}

// record returns the form of e that is spread in its state.
func record(e *entry) *wire.MemberRecord {
	switch e.State {
	case Dead, Left:
		return shortRecord(e, 0)
	case Suspect:
		return shortRecord(e, e.suspector)
	}
	return fullRecord(e)
}

// decodeMember returns the member in a full record, or an error of kind
// errs.Invalid.
func decodeMember(r *wire.MemberRecord) (Member, error) {
	m := Member{
		ID:          r.Id,
		Region:      intern(r.Region),
		Domain:      intern(r.Domain),
		Service:     intern(r.Service),
		State:       State(r.State),
		Incarnation: r.Incarnation,
		Version:     r.Version,
	}
	var err error
	if m.Addr, err = unpackAddr(r.Addr); err != nil {
		return m, err
	}
	m.GossipAddr = m.Addr
	if len(r.GossipAddr) > 0 {
		if m.GossipAddr, err = unpackAddr(r.GossipAddr); err != nil {
			return m, err
		}
	}
	return m, m.Validate()
}

// intern returns a string that equal ones share, since thousands of members have
// the same region, failure domain or service.
func intern(s string) string { return unique.Make(s).Value() }

// recordSize returns the bytes r takes in a repeated field.
func recordSize(r *wire.MemberRecord) int { return proto.Size(r) + 3 }

// idHash returns the hash that places a member in a leaf.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }
