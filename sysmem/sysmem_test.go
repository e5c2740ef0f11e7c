package sysmem

import "testing"

func TestMemoryOfTheVMIsKnown(t *testing.T) {
	vm := vmMemory()
	if vm < 64<<20 {
		t.Fatalf("the VM has %d bytes of memory", vm)
	}
	if a := Available(); a <= 0 || a > vm {
		t.Fatalf("%d of %d bytes are available", a, vm)
	}
}
