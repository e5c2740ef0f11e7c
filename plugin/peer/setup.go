// Package peer connects nodes with each other: yamux sessions over TCP that
// carry length-prefixed protobuf messages, one stream per attempt.
package peer

import "github.com/dogwoodhatch/dogwoodhatch/kernel"

func init() { kernel.Register("peer", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	cfg := DefaultConfig()
	cfg.MaxRequestBytes = k.Settings.Limits.MaxRequestBytes
	p := newPeer(cfg, k)
	k.Transport = p.pool
	return p, nil
}
