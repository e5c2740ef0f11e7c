// Package gossip runs the membership of the node: datagrams between nodes and
// an immutable view of the members for the traffic goroutines.
package gossip

import (
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

func init() { kernel.Register("gossip", kernel.StageState, setup) }

func setup(k *kernel.Kernel) (kernel.Plugin, error) {
	self := membership.Member{
		ID: k.NodeID, Addr: k.Settings.Listen.Peer, GossipAddr: k.Settings.Listen.Gossip,
		Region: k.Settings.Node.Region, Domain: k.Settings.Node.FailureDomain,
	}
	if addr := k.Settings.Listen.AdvertisePeer; addr != "" {
		self.Addr = addr
	}
	g, err := newGossip(k, self, !k.Settings.Baseline.Off(settings.MechanismDrain))
	if err != nil {
		return nil, err
	}
	k.Fleet = g
	k.Datagrams.Handle(kernel.ProtocolMembership, g.handle)
	k.Exchanges.Handle(topic, g.serveExchange)
	return g, nil
}
