// Package directory keeps this node's copy of the platform's store up to date. A few
// nodes read the store itself; the others fetch the state from other nodes. The
// package derives the members of the fleet and the profiles in force from the copy,
// and maintains the node's own record in the store.
package directory

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

func init() { kernel.Register("directory", kernel.StageState, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	d := newDirectory(k)
	k.Profiles = d
	k.Fleet = d
	k.Replica = d
	for _, prefix := range []string{membership.Prefix, profile.KindProfile.Prefix(), profile.KindService.Prefix(), profile.KindTeams.Prefix()} {
		k.Records.Declare(prefix)
	}
	k.Exchanges.Handle(stateTopic, d.serveState)
	k.Exchanges.Handle(endedTopic, d.serveEnded)
	return d, nil
}
