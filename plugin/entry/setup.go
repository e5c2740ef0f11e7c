// Package entry serves callers over HTTP: callers outside the fleet on one listener,
// the backend server of this node on another.
package entry

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("entry", kernel.StageListen, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) { return newEntry(k), nil }
