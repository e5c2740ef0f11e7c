// Package directory keeps this node's copy of the platform's store current: from
// the store itself on a few nodes, from other nodes elsewhere. Out of it come the
// members of the fleet and the records in force, and the node's own record goes
// into the store.
package directory

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("directory", kernel.StageState, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	d := newDirectory(k)
	k.Policies = d
	k.Fleet = d
	k.Replica = d
	k.Exchanges.Handle(topic, d.serveState)
	return d, nil
}
