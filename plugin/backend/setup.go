// Package backend speaks HTTP to the backend server beside the node.
package backend

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("backend", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	b := newBackend(k.Settings.Backend.ShedHeader)
	k.Backend = b
	return b, nil
}

// Start implements kernel.Plugin.
func (b *backend) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (b *backend) Stop(context.Context) error {
	b.client.CloseIdleConnections()
	return nil
}
