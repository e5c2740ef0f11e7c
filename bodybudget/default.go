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

// DefaultLimit returns an eighth of the memory limit of the process: the lower one of
// GOMEMLIMIT and the limit of its control group.
func DefaultLimit() int64 {
	limit := min(debug.SetMemoryLimit(-1), sysmem.CgroupLimit())
	if limit == math.MaxInt64 {
		return unlimitedDefault
	}
	return limit / defaultFraction
}
