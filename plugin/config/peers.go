package config

import (
	"math/rand/v2"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/spread"
)

// peers implements spread.Peers over the membership.
type peers struct {
	version uint64
	regions map[string][]spread.Peer
	names   []string
	byID    map[string]spread.Peer
}

// refresh rebuilds the index when the membership has changed.
func (p *peers) refresh(fleet kernel.Fleet, self string) {
	version := fleet.Version()
	if p.byID != nil && p.version == version {
		return
	}
	p.version = version
	p.regions = map[string][]spread.Peer{}
	p.byID = map[string]spread.Peer{}
	for _, m := range fleet.All() {
		if m.ID == self || m.State == membership.Left || m.State == membership.Dead {
			continue
		}
		peer := spread.Peer{ID: m.ID, Addr: m.Addr, GossipAddr: m.GossipAddr, Region: m.Region, Domain: m.Domain}
		p.regions[m.Region] = append(p.regions[m.Region], peer)
		p.byID[m.ID] = peer
	}
	p.names = p.names[:0]
	for name := range p.regions {
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
}

func (p *peers) count() int { return len(p.byID) }

// domain returns the ids of the live nodes of a failure domain and self.
func (p *peers) domain(name, self string) []string {
	ids := []string{self}
	for _, peer := range p.byID {
		if peer.Domain == name {
			ids = append(ids, peer.ID)
		}
	}
	return ids
}

// Regions implements spread.Peers.
func (p *peers) Regions() []string { return p.names }

// Size implements spread.Peers.
func (p *peers) Size(region string) int { return len(p.regions[region]) }

// Pick implements spread.Peers.
func (p *peers) Pick(region string, n int) []spread.Peer {
	list := p.regions[region]
	n = min(n, len(list))
	picked := make([]spread.Peer, 0, n)
	for _, i := range pickIndexes(len(list), n) {
		picked = append(picked, list[i])
	}
	return picked
}

// pickIndexes returns k distinct random numbers below n, in time O(k^2), after
// Bentley and Floyd, A Sample of Brilliance, 1987.
func pickIndexes(n, k int) []int {
	var out []int
	for j := n - k; j < n; j++ {
		i := rand.IntN(j + 1)
		if slices.Contains(out, i) {
			i = j
		}
		out = append(out, i)
	}
	return out
}

// Lookup implements spread.Peers.
func (p *peers) Lookup(id string) (spread.Peer, bool) {
	peer, ok := p.byID[id]
	return peer, ok
}
