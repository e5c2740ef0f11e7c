// Package quarantine keeps requests that crash backend servers from running. It spreads
// reports of crashes among the nodes, coordinates the runs of suspect requests, and keeps
// the quarantined ones in the store.
package quarantine

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("quarantine", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	q := newQuarantine(k)
	k.Quarantine = q
	k.Exchanges.Handle(crashTopic, q.serveCrash)
	k.Exchanges.Handle(permitTopic, q.servePermit)
	k.Records.Handle(recordPrefix, q.applyRecord)
	return q, nil
}
