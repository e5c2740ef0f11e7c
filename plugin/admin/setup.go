// Package admin serves the administration interface, the metrics and a status page on
// the administration address.
package admin

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("admin", kernel.StageListen, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	if k.Settings.Listen.Admin == "" {
		return disabledPlugin{}, nil
	}
	return newAdmin(k), nil
}

// disabledPlugin replaces the plug-in on a node without an administration address.
type disabledPlugin struct{}

// Start implements kernel.Plugin.
func (disabledPlugin) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (disabledPlugin) Stop(context.Context) error { return nil }
