package membership

import (
	"testing"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// TestRecordsThatNameNoServerAreRejected guards against calls to an address of another program's
// entry that nothing can be reached at.
func TestRecordsThatNameNoServerAreRejected(t *testing.T) {
	for _, tc := range []struct {
		addr  string
		slots uint32
		valid bool
	}{
		{"10.0.0.9:7001", 0, true}, {"10.0.0.9:7001", MaxSlots, true}, {"[fd00::9]:7001", 8, true},
		{"10.0.0.9:0", 8, false}, {"10.0.0.9:70000", 8, false}, {"0.0.0.0:7001", 8, false}, {"[::]:7001", 8, false},
		{"224.0.0.1:7001", 8, false}, {"host:7001", 8, false}, {"", 8, false}, {"10.0.0.9:7001", 4_294_967_295, false},
	} {
		value := wire.Encode(&wire.MemberRecord{Id: "a-1", Addr: tc.addr, Region: "r", Domain: "d", Service: "rates", Slots: tc.slots})
		if m, err := Decode(Key("a"), value, 7); (err == nil) != tc.valid {
			t.Errorf("%q with %d slots: %+v, %v", tc.addr, tc.slots, m, err)
		}
	}
}

// TestRecordOfAnotherVMIsRejected guards against a member whose ID a second record takes, and
// against an ended start in a record that no process of the VM wrote.
func TestRecordOfAnotherVMIsRejected(t *testing.T) {
	for id, valid := range map[string]bool{"vm-a-1f2e3d4c": true, "vm-b-1f2e3d4c": false, "vm-a": false, "vm-ab-1f2e3d4c": false, "odd": false, "": false} {
		value := wire.Encode(&wire.MemberRecord{Id: id, Addr: "10.0.0.9:7001", Region: "r", Domain: "d", Service: "rates"})
		if m, err := Decode(Key("vm-a"), value, 7); (err == nil) != valid {
			t.Errorf("ID %q: %+v, %v", id, m, err)
		}
	}
}
