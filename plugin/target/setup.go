// Package target executes attempts at the backend server of this node. It provides
// admission control, at-most-once execution and the claims of idempotency keys.
package target

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("target", kernel.StageTarget, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	t := newTarget(k)
	k.Target = t
	k.Executions = t
	return t, nil
}
