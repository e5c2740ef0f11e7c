// Package backend is the HTTP/1.1 client of the backend server beside the node.
package backend

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("backend", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	dialect := k.Dialect
	if dialect == nil {
		dialect = builtinDialect{k.Settings.Backend.ShedHeader}
	}
	b := newBackend(dialect, k.Log, k.Heads.BackendAnswers)
	k.Backend = b
	return b, nil
}

// Start implements kernel.Plugin.
func (b *backend) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (b *backend) Stop(context.Context) error {
	b.pool.close()
	return nil
}
