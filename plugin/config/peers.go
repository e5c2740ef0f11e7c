package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/spread"
)

// peers implements spread.Peers over the membership. It holds positions in the
// view of the fleet and no copies of members.
type peers struct {
	fleet   kernel.Fleet
	self    string
	version uint64
	view    []membership.Member
	regions map[string][]int32 // positions in view
	names   []string           // of the regions
	next    time.Time          // earliest time of the next refresh
}

// refreshCostFactor is the least ratio of the time between two refreshes to the
// time that one takes.
const refreshCostFactor = 20

// refresh indexes the view anew when the membership has changed.
func (p *peers) refresh(now time.Time) {
	version := p.fleet.Version()
	if p.view != nil && (p.version == version || now.Before(p.next)) {
		return
	}
	p.version = version
	p.view = p.fleet.All()
	p.regions = map[string][]int32{}
	for i := range p.view {
		if m := &p.view[i]; m.ID != p.self {
			p.regions[m.Region] = append(p.regions[m.Region], int32(i))
		}
	}
	p.names = p.names[:0]
	for name := range p.regions {
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
	p.next = now.Add(refreshCostFactor * time.Since(now))
}

// count returns the number of other members.
func (p *peers) count() int {
	n := 0
	for _, list := range p.regions {
		n += len(list)
	}
	return n
}

// domain returns the ids of the live nodes of a failure domain and self.
func (p *peers) domain(name string) []string {
	ids := []string{p.self}
	for i := range p.view {
		if m := &p.view[i]; m.Domain == name && m.ID != p.self {
			ids = append(ids, m.ID)
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
		picked = append(picked, peerOf(&p.view[list[i]]))
	}
	return picked
}

func peerOf(m *membership.Member) spread.Peer {
	return spread.Peer{ID: m.ID, Addr: m.Addr, GossipAddr: m.GossipAddr, Region: m.Region, Domain: m.Domain}
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
	m, ok := p.fleet.Lookup(id)
	if !ok || id == p.self || m.State == membership.Left || m.State == membership.Dead {
		return spread.Peer{}, false
	}
	return peerOf(&m), true
}
