package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// phase is how far this node has fetched the list.
type phase uint8

const (
	phaseInterests phase = iota // members of the services of Config.Interests
	phasePages                  // all members in pages
	phaseSteady                 // digests are compared now and then
)

// syncer compares the list with random peers, one exchange at a time.
type syncer struct {
	phase  phase
	cursor uint32
	next   time.Time
	pull   bytelimit.Bucket
	flight flight
	leaves []uint32 // leaves that differ from those of peer
	peer   *entry

	partial int // answers to interests from peers that are starting too
	busy    int // busy replies since the last other one
}

// busyWait returns how long to wait after a busy reply. It doubles with each:
// the reply itself costs the peer, and many nodes that ask the same few contacts
// at a start would otherwise use up its budget by their asking alone.
// The first members that a node needs are few, so it asks for them without delay.
func (s *syncer) busyWait() time.Duration {
	if s.phase == phaseInterests {
		return retryInterval
	}
	wait := min(retryInterval<<min(s.busy, maxBusyDoublings), maxBusyWait)
	s.busy++
	return wait
}

// maxPartial is the number of peers that are starting too which a node asks for
// its interests before it makes do with what they know.
const maxPartial = 5

// flight is the exchange in progress.
type flight struct {
	peer  string
	until time.Time
	kind  exchangeKind
}

// exchangeKind says what an exchange asks for.
type exchangeKind uint8

const (
	askPage exchangeKind = iota + 1
	askDigests
	askLeaves
)

// Waits between exchanges.
const (
	pageInterval  = 200 * time.Millisecond  // between pages and leaves, if the budget allows
	retryInterval = 1000 * time.Millisecond // after a failed exchange or the first busy reply
	maxBusyWait   = 15 * time.Second        // after further busy replies

	maxBusyDoublings = 4
	diffShare        = 4 // the next comparison comes this much sooner after a difference
)

// minExchangeRoom is the budget below which no exchange is started or answered.
const minExchangeRoom = 700

// exchangeRoom returns the size that an exchange message may have now, or 0 if
// it has to wait.
func (t *Table) exchangeRoom(now time.Time) int {
	room := t.out.Room(now) - bytelimit.ExchangeOverhead
	if room < minExchangeRoom {
		return 0
	}
	return min(room, t.cfg.PageBytes)
}

// maxLeavesPerExchange limits the leaves compared in one exchange.
const maxLeavesPerExchange = 128

func (s *syncer) init(t *Table, now time.Time) {
	s.pull = bytelimit.New(t.cfg.PullBytesPerSecond, t.cfg.BurstBytes, now)
	s.next = now
	s.phase = phasePages
	if len(t.cfg.Interests) > 0 {
		s.phase = phaseInterests
	}
}

// Synced reports whether the list was fetched once since the start.
func (t *Table) Synced() bool { return t.syncer.phase == phaseSteady }

// ExchangeRequest returns the request that is due and the member to send it to.
// The adapter calls it on each tick and answers each request with
// ExchangeReply or ExchangeFailed.
func (t *Table) ExchangeRequest(now time.Time) (peer Member, payload []byte, ok bool) {
	s := &t.syncer
	if t.self.State == Left || now.Before(s.next) || now.Before(s.flight.until) {
		return Member{}, nil, false
	}
	room := t.exchangeRoom(now)
	if s.pull.Room(now) <= 0 || room == 0 {
		return Member{}, nil, false
	}
	e, kind := t.nextExchange()
	if e == nil {
		return Member{}, nil, false
	}
	payload = wire.Encode(t.exchangeRequest(kind, room))
	s.flight = flight{peer: e.ID, until: now.Add(t.cfg.ExchangeTimeout), kind: kind}
	t.spendExchange(len(payload), now)
	t.stats.ExchangesSent++
	return e.Member, payload, true
}

// nextExchange chooses the peer and what to ask.
func (t *Table) nextExchange() (*entry, exchangeKind) {
	s := &t.syncer
	if s.phase != phaseSteady {
		return t.pagePeer(), askPage
	}
	if len(s.leaves) > 0 && s.peer != nil && !s.peer.State.gone() {
		return s.peer, askLeaves
	}
	s.leaves = nil
	s.peer = t.digestPeer()
	return s.peer, askDigests
}

// pagePeer returns a random member, if possible of the own region, to fetch
// the list from. When the own region is starting as a whole, the few members of
// the wanted services are asked of other regions.
func (t *Table) pagePeer() *entry {
	ok := func(e *entry) bool { return e != t.self && e.State == Alive }
	regions := t.otherRegions()
	t.rng.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	if t.syncer.phase == phaseInterests && t.syncer.partial > 0 {
		regions = append(regions, t.self.Region)
	} else {
		regions = append([]string{t.self.Region}, regions...)
	}
	for _, region := range regions {
		if picked := t.index.pick(t.rng, region, 1, ok); len(picked) > 0 {
			return picked[0]
		}
	}
	return nil
}

// digestPeer returns a random member to compare with: mostly one of the own
// region, rarely one of another. The share of other regions falls with the size
// of the own one, so that the traffic between regions does not grow with it.
func (t *Table) digestPeer() *entry {
	home := t.index.regions[t.self.Region]
	share := t.cfg.CrossExchangeShare / float64(max(len(home), 1))
	others := t.otherRegions()
	draw := t.rng.Float64()
	if len(home) < 2 {
		draw *= share * float64(len(others))
	}
	for _, region := range others {
		if draw < share {
			return first(t.index.pick(t.rng, region, 1, t.notSelf))
		}
		draw -= share
	}
	return first(t.index.pick(t.rng, t.self.Region, 1, t.notSelf))
}

// exchangeRequest returns the message that asks for kind, of about room bytes
// at most.
func (t *Table) exchangeRequest(kind exchangeKind, room int) *wire.MembershipRequest {
	s := &t.syncer
	req := &wire.MembershipRequest{From: t.self.ID}
	switch kind {
	case askPage:
		req.Page = true
		req.Cursor = s.cursor
		if s.phase == phaseInterests {
			req.Interests = t.cfg.Interests
		}
	case askDigests:
		req.Groups = t.index.groups[:]
	case askLeaves:
		req.Leaves, req.Records = t.takeLeaves(room)
	}
	return req
}

// takeLeaves returns the next leaves to compare and the own records in them.
func (t *Table) takeLeaves(room int) ([]uint32, []*wire.MemberRecord) {
	s := &t.syncer
	var leaves []uint32
	var records []*wire.MemberRecord
	for len(s.leaves) > 0 && room > 0 && len(leaves) < maxLeavesPerExchange {
		leaf := s.leaves[0]
		s.leaves = s.leaves[1:]
		leaves = append(leaves, leaf)
		for _, e := range t.index.leaves[leaf] {
			r := exchangeRecord(e)
			room -= recordSize(r)
			records = append(records, r)
		}
		room -= leafNumberBytes
	}
	return leaves, records
}

// leafNumberBytes is the size of the number of a leaf in a request.
const leafNumberBytes = 3

// ExchangeReply takes in the reply of a peer. Malformed input gives an error of
// kind errs.Invalid.
func (t *Table) ExchangeReply(peerID string, payload []byte, now time.Time) error {
	s := &t.syncer
	if s.flight.peer != peerID {
		return nil
	}
	kind := s.flight.kind
	reply := &wire.MembershipReply{}
	if err := wire.Decode(payload, reply); err != nil {
		t.stats.Malformed++
		t.ExchangeFailed(peerID, now)
		return err
	}
	s.flight = flight{}
	t.lastHeard = now
	s.pull.Room(now)
	s.pull.Spend(len(payload) + bytelimit.ExchangeOverhead)
	if reply.Busy {
		s.next = now.Add(jitter(t.rng, s.busyWait()))
		return nil
	}
	s.busy = 0
	src := fromExchange
	if kind == askPage {
		src = fromPage
	}
	err := t.applyAll(reply.Records, src, now)
	t.afterReply(kind, reply, now)
	return err
}

// afterReply moves on to the next step.
func (t *Table) afterReply(kind exchangeKind, reply *wire.MembershipReply, now time.Time) {
	s := &t.syncer
	s.next = now.Add(pageInterval)
	switch kind {
	case askPage:
		t.afterPage(reply)
	case askDigests:
		s.leaves = t.differingLeaves(reply.Groups)
		if len(s.leaves) == 0 {
			s.next = now.Add(jitter(t.rng, t.cfg.ExchangeInterval))
		}
	case askLeaves:
		if len(s.leaves) == 0 {
			s.next = now.Add(jitter(t.rng, t.cfg.ExchangeInterval/diffShare))
		}
	}
}

// afterPage moves on to the next page, the next peer or the next phase.
func (t *Table) afterPage(reply *wire.MembershipReply) {
	s := &t.syncer
	s.cursor = reply.Next
	if !reply.Done && reply.Next != 0 {
		return
	}
	s.cursor = 0
	if s.phase == phaseInterests && reply.Partial && s.partial < maxPartial {
		s.partial++
		return
	}
	s.phase++
}

// differingLeaves returns the leaves whose digests differ from the peer's.
func (t *Table) differingLeaves(groups []*wire.GroupDigest) []uint32 {
	var leaves []uint32
	for _, g := range groups {
		if g.Group >= numGroups || len(g.Digests) != len(g.Positions) {
			t.stats.Malformed++
			continue
		}
		var theirs [leavesPerGroup]uint32
		for i, pos := range g.Positions {
			theirs[pos%leavesPerGroup] = g.Digests[i]
		}
		for i, digest := range theirs {
			leaf := g.Group*leavesPerGroup + uint32(i)
			if t.index.digests[leaf] != digest {
				leaves = append(leaves, leaf)
			}
		}
	}
	return leaves
}

// groupDigest returns the digests of the leaves of a group that hold members.
func (t *Table) groupDigest(group int) *wire.GroupDigest {
	g := &wire.GroupDigest{Group: uint32(group)}
	for pos := range leavesPerGroup {
		if digest := t.index.digests[group*leavesPerGroup+pos]; digest != 0 {
			g.Positions = append(g.Positions, byte(pos))
			g.Digests = append(g.Digests, digest)
		}
	}
	return g
}

// ExchangeFailed tells that a peer did not reply.
func (t *Table) ExchangeFailed(peerID string, now time.Time) {
	s := &t.syncer
	if s.flight.peer != peerID {
		return
	}
	s.flight = flight{}
	s.leaves = nil
	s.next = now.Add(jitter(t.rng, retryInterval))
}

// Exchange answers the request of a peer. Malformed input is counted and gives
// an error of kind errs.Invalid.
func (t *Table) Exchange(payload []byte, now time.Time) ([]byte, error) {
	req := &wire.MembershipRequest{}
	if err := wire.Decode(payload, req); err != nil {
		t.stats.Malformed++
		return nil, err
	}
	err := t.applyAll(req.Records, fromExchange, now)
	reply := &wire.MembershipReply{From: t.self.ID, Partial: !t.Synced()}
	room := t.exchangeRoom(now)
	switch {
	case room == 0:
		reply.Busy = true
		t.stats.BusyReplies++
	case req.Page:
		t.fillPage(req, reply, room)
	case len(req.Leaves) > 0:
		t.fillLeaves(req, reply, room)
	default:
		t.fillGroups(req, reply, room)
	}
	b := wire.Encode(reply)
	t.spendExchange(len(b), now)
	return b, err
}

// spendExchange takes an exchange message out of the budget.
func (t *Table) spendExchange(n int, now time.Time) {
	t.out.Room(now)
	t.out.Spend(n + bytelimit.ExchangeOverhead)
	t.stats.BytesSent += uint64(n + bytelimit.ExchangeOverhead)
}

// fillPage adds the records of the leaves from the cursor on, up to room bytes.
func (t *Table) fillPage(req *wire.MembershipRequest, reply *wire.MembershipReply, room int) {
	wanted := map[string]bool{}
	for _, service := range req.Interests {
		wanted[service] = true
	}
	leaf := req.Cursor
	for ; leaf < numLeaves && room > 0; leaf++ {
		for _, e := range t.index.leaves[leaf] {
			if e.State.gone() || (len(wanted) > 0 && !wanted[e.Service]) {
				continue
			}
			r := exchangeRecord(e)
			room -= recordSize(r)
			reply.Records = append(reply.Records, r)
		}
	}
	reply.Next = leaf
	reply.Done = leaf >= numLeaves
}

// fillLeaves adds the records of the wanted leaves that the sender does not hold
// in the same state.
func (t *Table) fillLeaves(req *wire.MembershipRequest, reply *wire.MembershipReply, room int) {
	held := map[string]*wire.MemberRecord{}
	for _, r := range req.Records {
		held[r.Id] = r
	}
	for _, leaf := range req.Leaves {
		if leaf >= numLeaves || room <= 0 {
			continue
		}
		for _, e := range t.index.leaves[leaf] {
			r := exchangeRecord(e)
			if h := held[e.ID]; h != nil && h.Incarnation == r.Incarnation && h.State == r.State {
				continue
			}
			room -= recordSize(r)
			reply.Records = append(reply.Records, r)
		}
	}
}

// exchangeRecord returns the form of e for a peer that may not know it. A
// suspect is told as alive, since only probes and gossip of its region count.
func exchangeRecord(e *entry) *wire.MemberRecord {
	if e.State != Suspect {
		return record(e)
	}
	r := fullRecord(e)
	r.State = wire.MemberState_MEMBER_STATE_ALIVE
	return r
}

// fillGroups adds the digests of the leaves of differing groups, from a random
// group on, up to room bytes.
func (t *Table) fillGroups(req *wire.MembershipRequest, reply *wire.MembershipReply, room int) {
	if len(req.Groups) != numGroups {
		return
	}
	start := t.rng.IntN(numGroups)
	for i := range numGroups {
		g := (start + i) % numGroups
		if req.Groups[g] == t.index.groups[g] {
			continue
		}
		digest := t.groupDigest(g)
		room -= proto.Size(digest) + 3
		if room < 0 && len(reply.Groups) > 0 {
			return
		}
		reply.Groups = append(reply.Groups, digest)
	}
}
