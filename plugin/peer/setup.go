// Package peer connects nodes to each other with yamux sessions over TCP. Streams
// carry length-prefixed protobuf messages; each stream carries one attempt at a
// time.
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
