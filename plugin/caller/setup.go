// Package caller carries out requests on the node of the caller: throttling,
// routing, retries, and establishing the outcome of each request.
package caller

import (
	"context"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

func init() { kernel.Register("caller", kernel.StageCaller, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	c := newCaller(k)
	k.Caller = c
	return c, nil
}

// Start implements kernel.Plugin.
func (c *caller) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (c *caller) Stop(context.Context) error { return nil }
