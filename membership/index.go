package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Members are placed in leaves by the hash of their id; leaves form groups.
// Digests of groups and leaves are compared with peers.
const (
	leafBits       = 12
	numLeaves      = 1 << leafBits
	numGroups      = 64
	leavesPerGroup = numLeaves / numGroups
)

// digestPrime spreads incarnations over the digest.
const digestPrime = 0x9E3779B97F4A7C15

// entry is a member with what this node keeps about it.
type entry struct {
	Member
	hash      uint64
	extra     []byte // protobuf fields of a newer version
	suspector uint32 // hash of the node that raised the suspicion
	suspicion *suspicion
	since     time.Time // when the state was entered
	regionPos int       // position in the list of the region
}

// leaf returns the number of the leaf that holds e.
func (e *entry) leaf() uint32 { return uint32(e.hash >> (64 - leafBits)) }

// digest returns the contribution of e to the digest of its leaf. A suspect
// counts as alive, since suspicion does not leave the region.
func (e *entry) digest() uint32 {
	h := e.hash + e.Incarnation*digestPrime
	if e.State == Leaving {
		h = ^h
	}
	h ^= h >> 29
	h *= digestPrime
	return uint32(h >> 32)
}

// index holds all entries and the orders in which they are looked up.
type index struct {
	byID       map[string]*entry
	leaves     [numLeaves][]*entry
	digests    [numLeaves]uint32
	groups     [numGroups]uint32
	regions    map[string][]*entry // live members
	services   map[string][]*entry // live members with a service
	tombstones []*entry            // oldest first; may hold entries that came back
	live       int
}

func newIndex() *index {
	return &index{
		byID:     map[string]*entry{},
		regions:  map[string][]*entry{},
		services: map[string][]*entry{},
	}
}

// add inserts a new entry.
func (ix *index) add(e *entry) {
	ix.byID[e.ID] = e
	ix.leaves[e.leaf()] = append(ix.leaves[e.leaf()], e)
	ix.enlist(e)
}

// drop forgets an entry.
func (ix *index) drop(e *entry) {
	ix.unlist(e)
	delete(ix.byID, e.ID)
	ix.leaves[e.leaf()] = remove(ix.leaves[e.leaf()], e)
}

// change applies f to an entry and keeps the orders up to date.
func (ix *index) change(e *entry, f func()) {
	ix.unlist(e)
	f()
	ix.enlist(e)
}

// enlist puts e into the orders of its state.
func (ix *index) enlist(e *entry) {
	if e.State.gone() {
		ix.tombstones = append(ix.tombstones, e)
		return
	}
	ix.live++
	ix.toggleDigest(e)
	e.regionPos = len(ix.regions[e.Region])
	ix.regions[e.Region] = append(ix.regions[e.Region], e)
	if e.Service != "" {
		ix.services[e.Service] = append(ix.services[e.Service], e)
	}
}

// unlist takes e out of the orders of its state.
func (ix *index) unlist(e *entry) {
	if e.State.gone() {
		return
	}
	ix.live--
	ix.toggleDigest(e)
	ix.leaveRegion(e)
	if e.Service == "" {
		return
	}
	rest := remove(ix.services[e.Service], e)
	if len(rest) == 0 {
		delete(ix.services, e.Service)
		return
	}
	ix.services[e.Service] = rest
}

// leaveRegion takes e out of the list of its region in constant time.
func (ix *index) leaveRegion(e *entry) {
	list := ix.regions[e.Region]
	last := list[len(list)-1]
	list[e.regionPos] = last
	last.regionPos = e.regionPos
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(ix.regions, e.Region)
		return
	}
	ix.regions[e.Region] = list[:len(list)-1]
}

// toggleDigest adds e to the digests or takes it out.
func (ix *index) toggleDigest(e *entry) {
	d := e.digest()
	ix.digests[e.leaf()] ^= d
	ix.groups[e.leaf()/leavesPerGroup] ^= d
}

// expire forgets tombstones that are older than keep.
func (ix *index) expire(keep time.Duration, now time.Time) {
	for len(ix.tombstones) > 0 {
		e := ix.tombstones[0]
		if e.State.gone() && now.Sub(e.since) < keep {
			return
		}
		ix.tombstones = ix.tombstones[1:]
		if e.State.gone() && ix.byID[e.ID] == e {
			ix.drop(e)
		}
	}
}

// pick returns up to n distinct random live members of a region that ok accepts.
func (ix *index) pick(rng *rand.Rand, region string, n int, ok func(*entry) bool) []*entry {
	list := ix.regions[region]
	var picked []*entry
	if len(list) == 0 {
		return nil
	}
	for tries := 0; tries < 4*n+8 && len(picked) < n; tries++ {
		e := list[rng.IntN(len(list))]
		if ok(e) && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

// remove deletes e from list without keeping the order.
func remove(list []*entry, e *entry) []*entry {
	i := slices.Index(list, e)
	if i < 0 {
		return list
	}
	last := len(list) - 1
	list[i] = list[last]
	list[last] = nil
	return list[:last]
}
