// Package admin serves operators and collectors on the administration
// address: the administration interface, metrics and a status page.
package admin

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("admin", kernel.StageListen, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	if k.Settings.Listen.Admin == "" {
		return disabled{}, nil
	}
	return newAdmin(k), nil
}

// disabled stands for the plug-in on a node without an administration address.
type disabled struct{}

// Start implements kernel.Plugin.
func (disabled) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (disabled) Stop(context.Context) error { return nil }
