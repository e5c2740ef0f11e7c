// Package config keeps the operators' records of this node current: profiles
// and bindings, from the platform's store when this node watches it and from
// other nodes at all times.
package config

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("config", kernel.StageState, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	c := newConfig(k)
	k.Policies = c
	k.Datagrams.Handle(kernel.ProtocolSpread, c.handle)
	k.Exchanges.Handle(topic, c.serveExchange)
	return c, nil
}
