// Package config keeps the operators' records of this node current: profiles
// and bindings from the platform's store and from other nodes.
package config

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("config", kernel.StageState, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	c := newConfig(k)
	k.Policies = c
	return c, nil
}
