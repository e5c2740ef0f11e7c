// Package peer connects nodes to each other with yamux sessions over TCP. Streams
// carry length-prefixed protobuf messages; each stream carries one attempt at a
// time.
package peer

import "github.com/dogwoodhatch/dogwoodhatch/kernel"

func init() { kernel.Register("peer", kernel.StageTransport, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	cfg := DefaultConfig()
	cfg.MaxRequestBytes = func() int {
		limit := k.Settings.Limits.MaxRequestBytes
		if t := k.Routes.Current(); t != nil {
			limit = max(limit, int(t.Limits.MaxBodyBytes))
		}
		return limit
	}
	p := newPeer(cfg, k)
	k.Transport = p.pool
	return p, nil
}
