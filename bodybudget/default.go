package bodybudget

import (
	"math"
	"runtime/debug"

	"github.com/dogwoodhatch/dogwoodhatch/sysmem"
)

const (
	// defaultFraction is the part of the memory limit of the process that bodies may
	// use, as its divisor.
	defaultFraction = 8

	// unlimitedDefault is the budget, in bytes, of a process without a memory limit.
	unlimitedDefault = 128 << 20
)

// hugeFraction is the part of the memory of the VM, as its divisor, that one huge body may take. It is
// held twice while its request runs at the node of its caller.
const hugeFraction = 4

// Default returns a budget of DefaultLimit for a process whose settings give none, with huge bodies of up
// to a quarter of the memory of the VM.
func Default() *Budget { return NewWithHuge(DefaultLimit(), sysmem.Available()/hugeFraction) }

// DefaultLimit returns an eighth of the memory limit of the process: the lower one of
// GOMEMLIMIT and the limit of its control group.
func DefaultLimit() int64 {
	limit := min(debug.SetMemoryLimit(-1), sysmem.CgroupLimit())
	if limit == math.MaxInt64 {
		return unlimitedDefault
	}
	return limit / defaultFraction
}
