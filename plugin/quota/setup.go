// Package quota bounds the requests of teams over the whole fleet. Each node asks the
// head of its group for tokens, and the heads ask the owners of the teams. Decisions are
// those of package quota; this package sends the messages and holds the lock.
package quota

import "github.com/dogwoodhatch/dogwoodhatch/kernel"

func init() { kernel.Register("quota", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	p := newPlugin(k)
	k.Quotas = p
	k.Exchanges.Handle(topic, p.serveExchange)
	return p, nil
}
