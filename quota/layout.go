package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodhatch/dogwoodhatch/execution"
)

// Node is a node of the fleet.
type Node struct {
	ID     string // unique per process start
	VM     string // the same after a restart
	Region string
}

const (
	// nodesPerGroup is the number of nodes of a region from which on it has twice as many
	// groups.
	nodesPerGroup = 24

	// nodesPerShard is the number of nodes of the fleet from which on it has twice as
	// many shards of teams.
	nodesPerShard = 96

	// headCount is the number of nodes of a group that may be asked, in order.
	headCount = 2
)

// Layout says which node is the head of the own group and which owns each team. All nodes
// agree on it as far as they know the same members. VMs are chosen by rendezvous hashing,
// so that a member that joins or leaves changes the owner only of the teams that it gets
// or had.
type Layout struct {
	self   Node
	nodes  []Node // by ID
	shards []shard
	heads  []Node // of the own group, in order

	deputies map[int]Node // by shard, as far as asked for since the last update
}

// shard is a part of the teams.
type shard struct {
	owner Node
	score uint64
	since time.Time // when this node became the owner, if it is
}

// NewLayout returns the layout of a fleet that consists of the node itself.
func NewLayout(self Node, now time.Time) *Layout {
	l := &Layout{self: self}
	l.Update(nil, now)
	return l
}

// Update sets the nodes of the fleet. The node itself is added if it is missing.
func (l *Layout) Update(nodes []Node, now time.Time) {
	nodes = l.sorted(nodes)
	before := l.nodes
	l.nodes = nodes
	l.deputies = nil
	l.updateHeads()
	if n := powerOfTwo(len(nodes), nodesPerShard); n != len(l.shards) {
		l.reshard(n, now)
		return
	}
	l.updateOwners(before, now)
}

// sorted returns the nodes by ID with the node itself.
func (l *Layout) sorted(nodes []Node) []Node {
	nodes = slices.Clone(nodes)
	nodes = slices.DeleteFunc(nodes, func(n Node) bool { return n.VM == l.self.VM })
	nodes = append(nodes, l.self)
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	return nodes
}

// powerOfTwo returns the smallest power of two that leaves fewer than most nodes for each
// part.
func powerOfTwo(nodes, most int) int {
	n := 1
	for nodes >= n*most {
		n *= 2
	}
	return n
}

// updateHeads chooses the heads of the own group.
func (l *Layout) updateHeads() {
	var region []Node
	for _, n := range l.nodes {
		if n.Region == l.self.Region {
			region = append(region, n)
		}
	}
	groups := uint64(powerOfTwo(len(region), nodesPerGroup))
	own := xxhash.Sum64String(l.self.VM) % groups
	byVM := map[string]Node{}
	var names []string
	for _, n := range region {
		if xxhash.Sum64String(n.VM)%groups == own {
			byVM[n.VM] = n
			names = append(names, n.VM)
		}
	}
	l.heads = l.heads[:0:0]
	for _, vm := range execution.Holders("quota-head", names, headCount) {
		l.heads = append(l.heads, byVM[vm])
	}
}

// reshard divides the teams into another number of shards, a power of two. The node keeps
// the time since which it owns a shard if it owned all teams of it before.
func (l *Layout) reshard(n int, now time.Time) {
	old := l.shards
	l.shards = make([]shard, n)
	for i := range l.shards {
		l.elect(i)
		l.shards[i].since = now
		if len(old) > 0 && l.ownsShard(i) {
			l.shards[i].since = l.ownedSince(old, i, n, now)
		}
	}
}

// ownedSince returns since when the node owns all teams of shard i of n, by the shards of
// before.
func (l *Layout) ownedSince(old []shard, i, n int, now time.Time) time.Time {
	var since time.Time
	for j := i % len(old); j < len(old); j += n {
		if old[j].owner.ID != l.self.ID {
			return now
		}
		since = later(since, old[j].since)
	}
	return since
}

// elect chooses the owner of a shard among all nodes.
func (l *Layout) elect(i int) {
	s := &l.shards[i]
	s.owner, s.score = Node{}, 0
	for _, n := range l.nodes {
		s.offer(n, i)
	}
}

// offer makes a node the owner of a shard if its score is the highest.
func (s *shard) offer(n Node, i int) {
	score := ownerScore(n.VM, i)
	if s.owner.ID == "" || cmp.Or(cmp.Compare(score, s.score), strings.Compare(s.owner.VM, n.VM)) > 0 {
		s.owner, s.score = n, score
	}
}

// ownerScore returns the rendezvous hash of a VM for a shard.
func ownerScore(vm string, i int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm)
	_, _ = d.Write([]byte{0, byte(i), byte(i >> 8), byte(i >> 16)})
	return d.Sum64()
}

// updateOwners applies the difference to the nodes of before: with 30,000 nodes, choosing
// all owners anew would take 150 ms.
func (l *Layout) updateOwners(before []Node, now time.Time) {
	gone, joined := difference(before, l.nodes)
	if len(gone) == 0 && len(joined) == 0 {
		return
	}
	left := map[string]bool{}
	for _, n := range gone {
		left[n.ID] = true
	}
	for i := range l.shards {
		s := &l.shards[i]
		owned := l.ownsShard(i)
		if left[s.owner.ID] {
			l.elect(i)
		} else {
			for _, n := range joined {
				s.offer(n, i)
			}
		}
		if !owned && l.ownsShard(i) {
			s.since = now
		}
	}
}

// difference returns the nodes that are only in a and only in b, both sorted by ID.
func difference(a, b []Node) (onlyA, onlyB []Node) {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			a, b = a[1:], b[1:]
		case a[0].ID <= b[0].ID:
			onlyA, a = append(onlyA, a[0]), a[1:]
		default:
			onlyB, b = append(onlyB, b[0]), b[1:]
		}
	}
	return append(onlyA, a...), append(onlyB, b...)
}

func (l *Layout) ownsShard(i int) bool { return l.shards[i].owner.ID == l.self.ID }

// Size returns the number of nodes.
func (l *Layout) Size() int { return len(l.nodes) }

// Shards returns the number of shards.
func (l *Layout) Shards() int { return len(l.shards) }

// Shard returns the shard of a team.
func (l *Layout) Shard(team string) int {
	return int(xxhash.Sum64String(team) % uint64(len(l.shards)))
}

// Heads returns the nodes that may be asked for the own group, in order.
func (l *Layout) Heads() []Node { return l.heads }

// Owner returns the owner of a shard.
func (l *Layout) Owner(shard int) Node { return l.shards[shard].owner }

// Deputy returns the node that grants the tokens of a shard while its owner does not answer:
// the one with the second highest score. It is the owner itself in a fleet of one node.
func (l *Layout) Deputy(i int) Node {
	if d, ok := l.deputies[i]; ok {
		return d
	}
	owner := l.shards[i].owner
	var second shard
	for _, n := range l.nodes {
		if n.ID != owner.ID {
			second.offer(n, i)
		}
	}
	if second.owner.ID == "" {
		second.owner = owner
	}
	if l.deputies == nil {
		l.deputies = map[int]Node{}
	}
	l.deputies[i] = second.owner
	return second.owner
}

// Witnesses returns up to n nodes of other regions than the own one, or of the own region
// if there is no other, without a given node.
func (l *Layout) Witnesses(n int, without string) []Node {
	var others, own []Node
	for _, m := range l.nodes {
		switch {
		case m.ID == l.self.ID || m.ID == without:
		case m.Region == l.self.Region:
			own = append(own, m)
		default:
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		others = own
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// OwnedSince returns since when this node owns a shard, and false if it does not.
func (l *Layout) OwnedSince(shard int) (time.Time, bool) {
	return l.shards[shard].since, l.ownsShard(shard)
}

// Owners returns the owners of all shards, each once.
func (l *Layout) Owners() []Node {
	var list []Node
	seen := map[string]bool{}
	for _, s := range l.shards {
		if !seen[s.owner.ID] {
			seen[s.owner.ID] = true
			list = append(list, s.owner)
		}
	}
	return list
}
